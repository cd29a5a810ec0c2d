//! Requests counted by outcome and cause.

use std::fs;

use jujubewall_diagnosis::line::LogLine;
use jujubewall_diagnosis::losses::GroupCount;
use jujubewall_diagnosis::losses::LossReport;
use jujubewall_diagnosis::losses::LossTally;
use jujubewall_diagnosis::losses::Span;
use jujubewall_diagnosis::outcome::Outcome;
use jujubewall_diagnosis::source::read_lines;
use smol_str::SmolStr;
use tempfile::TempDir;

fn report(span: Span, lines: &[&str]) -> LossReport {
    let mut tally = LossTally::new(span);
    for line in lines {
        let line = LogLine::parse(line);
        let process = line.ok().and_then(|line| line.process).unwrap_or("front-1");
        tally.on_line(&SmolStr::new(process), line);
    }
    tally.report()
}

fn end(id: &str, fields: &str) -> String {
    format!("time=5.1 level=INFO event=end id={id} route=notes account=hall {fields}")
}

/// Returns the outcome and the reason of the only request in a report.
fn only_cause(line: &str) -> (Outcome, SmolStr) {
    let report = report(Span::ALL, &[line]);
    let [count] = report.causes.as_slice() else {
        panic!("one cause expected: {report:?}");
    };
    (count.cause.outcome, count.cause.reason.clone())
}

#[test]
fn test_answers_are_judged_by_what_their_route_wants() {
    let stream = |first: u32, gap: u32, sends: u32, repaths: u32| {
        end(
            "a",
            &format!(
                "outcome=completed reason=\"\" sends={sends} repaths={repaths} first_ms={first} \
                 target_ms=600 longest_gap_ms={gap} gap_limit_ms=250 ms=3000"
            ),
        )
    };
    let outcome = |line: &str| only_cause(line).0;
    assert_eq!(outcome(&stream(600, 250, 1, 0)), Outcome::Served);
    assert_eq!(outcome(&stream(601, 250, 1, 0)), Outcome::Late);
    assert_eq!(outcome(&stream(600, 251, 1, 0)), Outcome::Paused);
    assert_eq!(only_cause(&stream(60, 400, 1, 1)).1, "path repaired");
    assert_eq!(only_cause(&stream(60, 400, 2, 1)).1, "sent again");
    assert_eq!(only_cause(&stream(60, 400, 1, 0)).1, "no engine lost");
    let call = |ms: u32| {
        let fields = format!("outcome=completed reason=\"\" sends=1 target_ms=120 ms={ms}");
        outcome(&end("b", &fields))
    };
    assert_eq!(call(120), Outcome::Served);
    assert_eq!(call(121), Outcome::Late);
}

#[test]
fn test_rejections_are_counted_once_by_their_reason_with_two_examples() {
    let mut lines = Vec::new();
    for id in ["a", "b", "c"] {
        lines.push(format!(
            "time=4.0 level=INFO event=reject id={id} reason=\"every engine is full\" sends=1"
        ));
        lines.push(end(
            id,
            "outcome=rejected reason=\"every engine is full\" ms=4",
        ));
    }
    lines
        .push("time=4.0 level=INFO event=reject id=d stage=accept reason=\"stops\" sends=0".into());
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    let report = report(Span::ALL, &lines);
    assert_eq!(report.total.rejected, 4);
    assert_eq!(report.causes[0].requests, 3);
    assert_eq!(report.causes[0].examples.as_slice(), ["a", "b"]);
    assert_eq!(report.causes[1].cause.reason, "stops");
}

#[test]
fn test_requests_of_a_process_that_starts_again_are_lost() {
    let report = report(
        Span::ALL,
        &[
            "0.1 front-1 time=1.0 event=start member=front-1 domain=hall",
            "0.2 front-1 time=1.1 event=path id=a parts=2",
            "0.3 front-1 time=1.2 event=path id=b parts=2",
            "0.3 front-2 time=1.2 event=path id=c parts=2",
            "0.4 front-1 time=1.3 event=end id=a route=notes outcome=completed ms=200",
            "0.9 front-1 time=1.8 event=start member=front-1 domain=hall",
        ],
    );
    let lost = &report
        .causes
        .iter()
        .find(|count| count.cause.outcome == Outcome::GatewayEnded);
    assert_eq!(lost.unwrap().examples.as_slice(), ["b"]);
    let [hall] = report.domains.as_slice() else {
        panic!("one domain expected: {report:?}");
    };
    let expected = GroupCount {
        requests: 2,
        served: 1,
        failed: 1,
        ..GroupCount::default()
    };
    assert_eq!((hall.name.as_str(), hall.count), ("hall", expected));
}

#[test]
fn test_groups_add_up_to_the_requests_of_the_span() {
    let lines: Vec<String> = (0..20)
        .map(|index| {
            format!(
                "{index}.5 front-1 time=1.0 event=end id={index} route=r{} account=a{} \
                 outcome=completed ms=3",
                index % 3,
                index % 2
            )
        })
        .collect();
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    let span = Span {
        from_s: 5.0,
        to_s: 15.0,
    };
    let report = report(span, &lines);
    assert_eq!(report.total.requests, 10);
    for groups in [
        &report.seconds,
        &report.domains,
        &report.routes,
        &report.accounts,
    ] {
        let sum: u64 = groups.iter().map(|group| group.count.requests).sum();
        assert_eq!(sum, 10);
    }
    assert_eq!((report.seconds.len(), report.routes.len()), (10, 3));
}

#[test]
fn test_lines_that_cannot_be_read_are_counted_and_never_fatal() {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("front-7.log");
    let mut bytes = b"thread 'main' panicked\n\xff\xfe\n".to_vec();
    bytes.extend_from_slice(b"time=1.0 event=start member=front-7 domain=hall\n\n");
    bytes.extend_from_slice(b"time=1.0 event=end id=a outcome=");
    bytes.extend(std::iter::repeat_n(b'x', 200_000));
    bytes.extend_from_slice(b"\ntime=2.0 event=end id=b outcome=completed ms=1");
    fs::write(&path, bytes).unwrap();
    let mut tally = LossTally::new(Span::ALL);
    let mut names = Vec::new();
    read_lines(&path, |process, line| {
        names.push(process.clone());
        tally.on_line(process, line);
    })
    .unwrap();
    let report = tally.report();
    assert_eq!((report.lines, report.unreadable_lines), (5, 2));
    assert_eq!(report.total.requests, 2);
    assert_eq!(report.domains[0].name, "hall");
    assert!(names.iter().all(|name| name == "front-7"));
    assert!(read_lines(&folder.path().join("none"), |_, _| {}).is_err());
}

#[test]
fn test_open_requests_are_bounded() {
    let mut tally = LossTally::new(Span::ALL);
    let process = SmolStr::new("front-1");
    for index in 0..250_000 {
        let line = format!("time=1.0 event=path id={index}");
        tally.on_line(&process, LogLine::parse(&line));
    }
    assert_eq!(tally.report().forgotten, 50_000);
}
