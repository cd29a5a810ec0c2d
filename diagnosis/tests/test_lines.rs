//! Log lines as processes and programs that merge their output write them.

use jujubewall_diagnosis::line::LineFault;
use jujubewall_diagnosis::line::LogLine;

#[test]
fn test_fields_of_a_plain_line_are_read() {
    let line = LogLine::parse(
        "time=1778203440.898 level=INFO event=reject id=30961e28 reason=\"no engine takes it\" \
         come_back_ms=1000",
    )
    .unwrap();
    assert!((line.time_s - 1_778_203_440.898).abs() < 1e-6);
    assert_eq!(line.process, None);
    assert_eq!(line.event, "reject");
    assert_eq!(line.get("reason"), Some("no engine takes it"));
    assert_eq!(line.number("come_back_ms"), Some(1_000));
    assert_eq!(line.get("sends"), None);
}

#[test]
fn test_merged_line_has_the_time_and_the_process_of_the_merging_program() {
    let line =
        "  -8.46 front-2 time=1778203413.530 level=INFO event=order id=i-7 answer=Some(Begun)";
    let line = LogLine::parse(line).unwrap();
    assert!((line.time_s - -8.46).abs() < 1e-9);
    assert_eq!(line.process, Some("front-2"));
    assert_eq!(line.get("answer"), Some("Some(Begun)"));
}

#[test]
fn test_field_after_a_value_with_spaces_is_found() {
    let text = "time=1.0 level=INFO event=not_run id=a status=503 Service Unavailable faulty=b";
    let line = LogLine::parse(text).unwrap();
    assert_eq!(line.get("status"), Some("503"));
    assert_eq!(line.get("faulty"), Some("b"));
}

#[test]
fn test_field_names_in_a_quoted_value_or_in_longer_names_are_not_taken_for_fields() {
    let text = "time=1.0 event=end last_event=7 reason=\"event=x sends=9\" sends=2";
    let line = LogLine::parse(text).unwrap();
    assert_eq!(line.event, "end");
    assert_eq!(line.get("sends"), Some("2"));
}

#[test]
fn test_lines_without_time_or_event_are_faults() {
    assert_eq!(LogLine::parse("thread panicked"), Err(LineFault::NoTime));
    assert_eq!(LogLine::parse("time= event=end"), Err(LineFault::NoTime));
    assert_eq!(
        LogLine::parse("time=1.0 level=INFO"),
        Err(LineFault::NoEvent)
    );
}

#[test]
fn test_any_text_is_parsed_without_a_panic() {
    for text in [
        "time=",
        "time=1 event=\"",
        "time=1 event=\"a",
        "=",
        "time=1 = event=é\"\" x",
    ] {
        let _ = LogLine::parse(text).map(|line| line.get("x").map(str::len));
    }
}
