//! Tests of the platform's stand-ins in memory.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::host_list::HostList;
use jujubewall_platform::host_list::HostRecord;
use jujubewall_platform::host_list::HostState;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_platform::key_value::Swap;
use jujubewall_platform::weight_store::WeightStore;
use jujubewall_testutils::certificates::TestCertificates;
use jujubewall_testutils::host_list::FakeHostList;
use jujubewall_testutils::key_value::FakeKeyValue;
use jujubewall_testutils::key_value::Outage;
use jujubewall_testutils::weight_store::FakeWeightStore;
use jujubewall_types::config::Assignment;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::HostName;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::Revision;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;
use tokio::time::Instant;
use tokio::time::advance;
use tokio::time::sleep;

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn test_leases_lapse_with_their_keys() {
    let fake = FakeKeyValue::new();
    let lease = fake.grant_lease(3 * SECOND).await.unwrap();
    let value = Bytes::from_static(b"v");
    let put = fake.compare_and_swap("k", None, value.clone(), Some(lease));
    put.await.unwrap();
    advance(2 * SECOND).await;
    fake.keep_alive(lease).await.unwrap();
    advance(2 * SECOND).await;
    assert!(fake.get("k").await.unwrap().is_some());
    advance(SECOND).await;
    assert_eq!(fake.get("k").await, Ok(None));
    assert_eq!(
        fake.keep_alive(lease).await,
        Err(PlatformError::LeaseLapsed)
    );
    let late = fake.compare_and_swap("k", None, value, Some(lease)).await;
    assert_eq!(late, Err(PlatformError::LeaseLapsed));
}

#[tokio::test(start_paused = true)]
async fn test_faults_of_the_key_value_service() {
    let fake = FakeKeyValue::with_seed(1);
    let put = |expected: Option<u64>| {
        let value = Bytes::from_static(b"v");
        fake.compare_and_swap("k", expected.map(Revision), value, None)
    };
    fake.set_faults(|faults| {
        faults.delay_next_effects = 1;
        faults.effect_delay = 5 * SECOND;
    });
    assert_matches!(put(None).await, Err(PlatformError::ReplyLost(_)));
    assert!(fake.peek("k").is_none());
    sleep(6 * SECOND).await;
    assert_eq!(fake.peek("k").unwrap().revision, Revision(1));

    fake.set_faults(|faults| faults.writes_per_s = Some(2));
    assert_eq!(put(Some(1)).await, Ok(Swap::Done(Revision(2))));
    assert_matches!(put(Some(1)).await, Ok(Swap::Conflict(Some(_))));
    assert_eq!(put(Some(2)).await, Err(PlatformError::RateLimited));
    advance(SECOND).await;
    assert_matches!(put(Some(2)).await, Ok(Swap::Done(_)));

    fake.set_faults(|faults| {
        faults.lose_reply_permille = 500;
        faults.writes_per_s = None;
    });
    let mut lost = 0;
    for revision in 3..103 {
        lost += u32::from(put(Some(revision)).await.is_err());
    }
    assert!((30..70).contains(&lost));
    assert_eq!(fake.peek("k").unwrap().revision, Revision(103));

    let begin = Instant::now();
    fake.set_faults(|faults| faults.outage = Outage::Silent);
    assert_matches!(put(None).await, Err(PlatformError::ReplyLost(_)));
    assert!(begin.elapsed() >= SECOND);
    assert_eq!(fake.counts().swaps, 106);
}

#[tokio::test(start_paused = true)]
async fn test_host_list_lags_and_weight_store_shares_its_rate() {
    let hosts = FakeHostList::new();
    hosts.set_lag(4 * SECOND);
    hosts.set_hosts(vec![HostRecord {
        host: HostName::new("h").unwrap(),
        failure_domain: FailureDomainName::new("north").unwrap(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        state: HostState::Live,
    }]);
    assert_eq!(hosts.hosts().await.unwrap().len(), 0);
    advance(4 * SECOND).await;
    assert_eq!(hosts.hosts().await.unwrap().len(), 1);

    let store = FakeWeightStore::new(100, 100);
    let assignment = Assignment {
        model: ModelName::new("m").unwrap(),
        version: VersionName::new("v").unwrap(),
        layers: LayerRange::new(0, 3),
    };
    let begin = Instant::now();
    let both = tokio::join!(store.fetch(&assignment), store.fetch(&assignment));
    assert_eq!(both, (Ok(300), Ok(300)));
    assert_eq!(begin.elapsed(), 6 * SECOND);
}

#[test]
fn test_certificates_are_issued_per_process() {
    let authority = TestCertificates::new();
    let first = authority.issue("agent-1");
    let second = authority.issue("agent-2");
    assert!(first.certificate_pem.contains("BEGIN CERTIFICATE"));
    assert!(first.private_key_pem.contains("BEGIN PRIVATE KEY"));
    assert_ne!(first.certificate_pem, second.certificate_pem);
    assert_ne!(first.certificate_pem, authority.authority_pem());
}
