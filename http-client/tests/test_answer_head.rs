//! Tests which heads of answers are believed.

use hyper::Response;
use jujubewall_http_client::HeadFault;
use jujubewall_http_client::check_head;

fn with_field(value: &[u8]) -> Response<()> {
    let answer = Response::builder().header("x-note", value);
    answer.body(()).unwrap()
}

#[test]
fn test_field_that_ends_in_a_status_line_is_not_believed() {
    for value in [
        "HTTP/1.1 200 OK",
        "fiHTTP/1.1 200",
        "HTTP/1.0 503 Try again later",
    ] {
        let checked = check_head(&with_field(value.as_bytes()));
        assert_eq!(checked, Err(HeadFault::HoldsAnother), "{value}");
    }
}

#[test]
fn test_field_that_names_the_protocol_is_believed() {
    for value in [
        "",
        "HTTP/1.1",
        "HTTP/1.1 proxy-7",
        "HTTP/1.1 2000",
        "HTTP/1.1 20",
        "HTTP/1. 200 OK",
        "HTTP/2 200",
        "1.1 HTTP/1.1 (proxy), HTTP/1.1 other",
    ] {
        assert_eq!(check_head(&with_field(value.as_bytes())), Ok(()), "{value}");
    }
}

fn with_status(status: u16) -> Response<()> {
    Response::builder().status(status).body(()).unwrap()
}

/// Guards against statuses of no class that were passed on as an answer.
#[test]
fn test_status_that_http_does_not_define_is_not_believed() {
    for status in [600, 601, 999] {
        let checked = check_head(&with_status(status));
        assert_eq!(checked, Err(HeadFault::InvalidStatus(status)));
    }
    for status in [100, 200, 299, 404, 451, 500, 599] {
        assert_eq!(check_head(&with_status(status)), Ok(()), "{status}");
    }
}
