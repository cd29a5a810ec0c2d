//! The decisions that led to the end of one request.

use jujubewall_diagnosis::line::LogLine;
use jujubewall_diagnosis::trace::RequestScan;
use jujubewall_diagnosis::trace::TraceReport;
use smol_str::SmolStr;

const LOG: &[&str] = &[
    "1.0 front-1 time=1.0 event=upstream id=i-1 address=10.0.0.1:80 state=ready",
    "1.0 front-1 time=1.0 event=upstream id=i-2 address=10.0.0.2:80 state=ready",
    "1.0 front-1 time=1.0 event=upstream id=i-3 address=10.0.0.3:80 state=ready",
    "4.0 front-1 time=4.0 event=path id=a first=i-1 path=10.0.0.1:80=0-4,10.0.0.2:80=4-8",
    "4.5 front-1 time=4.5 event=suspect upstream=i-2 address=10.0.0.2:80 reason=\"silent\"",
    "4.5 front-1 time=4.5 event=suspect upstream=i-3 address=10.0.0.3:80 reason=\"silent\"",
    "4.5 front-2 time=4.5 event=suspect upstream=i-2 address=10.0.0.2:80 reason=\"silent\"",
    "4.6 front-2 time=4.6 event=order id=i-9 layers=0..4 answer=Some(Begun)",
    "4.7 front-1 time=4.7 event=run_lost id=a sends=1",
    "4.8 front-1 time=4.8 event=reject id=b reason=\"no engine holds some layer\"",
    "5.0 front-1 time=5.0 event=end id=a outcome=completed ms=900",
    "5.5 front-1 time=5.5 event=suspect upstream=i-1 address=10.0.0.1:80 reason=\"late\"",
];

fn trace(id: &str) -> Option<TraceReport> {
    let lines = || {
        LOG.iter().map(|text| {
            let line = LogLine::parse(text).unwrap();
            (SmolStr::new(line.process.unwrap()), line)
        })
    };
    let mut requests = RequestScan::new(id);
    for (process, line) in lines() {
        requests.on_line(&process, Ok(line));
    }
    let mut causes = requests.into_cause_scan()?;
    for (process, line) in lines() {
        causes.on_line(&process, Ok(line));
    }
    Some(causes.into_report())
}

fn events(report: &TraceReport) -> Vec<(&str, Option<&str>)> {
    let parsed = report
        .lines
        .iter()
        .map(|line| LogLine::parse(&line.text).unwrap());
    parsed
        .map(|line| (line.event, line.get("upstream")))
        .collect()
}

#[test]
fn test_lost_run_is_explained_by_the_beliefs_about_the_engines_of_its_path() {
    let report = trace("a").unwrap();
    let expected = [
        ("upstream", None),
        ("upstream", None),
        ("path", None),
        ("suspect", Some("i-2")),
        ("run_lost", None),
        ("end", None),
    ];
    assert_eq!(events(&report), expected);
    assert_eq!(report.lines.iter().filter(|line| line.is_own).count(), 3);
}

#[test]
fn test_rejection_is_explained_by_lost_capacity_and_the_orders_of_any_planner() {
    let report = trace("b").unwrap();
    let suspects = events(&report)
        .into_iter()
        .filter(|(event, _)| *event == "suspect");
    assert_eq!(suspects.count(), 2);
    assert!(events(&report).contains(&("order", None)));
}

#[test]
fn test_unknown_request_has_no_trace() {
    assert!(trace("c").is_none());
}
