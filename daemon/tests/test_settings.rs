//! Tests of reading and checking settings files.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use assert_matches::assert_matches;
use jujubewall_daemon::settings::CheckedSettings;
use jujubewall_daemon::settings::RoleSettings;
use jujubewall_daemon::settings::Settings;
use jujubewall_daemon::settings::SettingsFaults;
use rcgen::CertifiedKey;
use rcgen::generate_simple_self_signed;
use serde_json::Value;
use serde_json::json;

fn scratch(test: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(&directory).unwrap();
    directory
}

fn write_keys(directory: &Path, stem: &str) {
    let CertifiedKey { cert, signing_key } =
        generate_simple_self_signed(vec!["entry-1".to_owned()]).unwrap();
    fs::write(directory.join(format!("{stem}.crt")), cert.pem()).unwrap();
    fs::write(
        directory.join(format!("{stem}.key")),
        signing_key.serialize_pem(),
    )
    .unwrap();
}

/// Writes key files and returns a document of an entry without a fault.
fn entry(test: &str) -> Value {
    let directory = scratch(test);
    write_keys(&directory, "own");
    json!({
        "role": "entry",
        "member": "entry-1",
        "host": "host-1",
        "failure_domain": "arrivals",
        "region": "addis",
        "peer_address": "127.0.0.1:7000",
        "caller_address": "127.0.0.1:8000",
        "operator_address": "127.0.0.1:8001",
        "metrics_address": "127.0.0.1:9000",
        "tls": {
            "certificate_path": directory.join("own.crt"),
            "key_path": directory.join("own.key"),
            "authority_path": directory.join("own.crt"),
        },
        "platform": {
            "key_value_address": "127.0.0.1:2379",
            "host_list_address": "127.0.0.1:2380",
            "weight_store_address": "127.0.0.1:2381",
        },
        "seed_peers": ["127.0.0.1:7001"],
        "partners": [{ "name": "trust", "operator_key_digests": ["ab".repeat(32)] }],
        "limits": { "max_body_bytes": 65536 },
    })
}

fn check(document: &Value) -> Result<CheckedSettings, SettingsFaults> {
    Settings::parse(&document.to_string())
}

fn fault_lines(document: &Value) -> Vec<String> {
    let faults = check(document).expect_err("the document has faults");
    faults.faults().iter().map(ToString::to_string).collect()
}

#[test]
fn test_a_document_without_faults_reads_as_the_derived_reader_reads_it() {
    let document = entry("whole");
    let checked = check(&document).unwrap();
    let derived: Settings = serde_json::from_value(document.clone()).unwrap();
    assert_eq!(checked.settings(), &derived);
    assert_eq!(checked.settings().limits.max_body_bytes, 65536);
    assert_matches!(checked.role(), RoleSettings::Entry { caller_address, .. } if caller_address.port() == 8000);

    let path = scratch("whole").join("settings.json");
    fs::write(&path, document.to_string()).unwrap();
    assert_eq!(Settings::read(&path).unwrap(), checked);
}

#[test]
fn test_every_fault_is_listed_with_its_path() {
    let mut document = entry("faults");
    document["member"] = json!("");
    document["peer_address"] = json!("0.0.0.0:7000");
    document["metrics_address"] = json!("0.0.0.0:8001");
    document["seed_peers"] = json!(["127.0.0.1:7001", "entry-2.example:7000", "127.0.0.1:0"]);
    document["tls"]["key_path"] = json!("/nowhere/own.key");
    document["platform"]["host_list_address"] = json!(2380);
    document["platform"]
        .as_object_mut()
        .unwrap()
        .remove("key_value_address");
    document["partners"] = json!([
        { "name": "trust", "operator_key_digests": ["ab".repeat(32)] },
        { "name": "trust", "operator_key_digests": ["cd", "ab".repeat(32)] },
        { "name": "bureau", "operator_key_digests": [] },
    ]);
    document["limits"] = json!({
        "max_body_bytes": 0,
        "max_connections": 1_000_000,
        "body_timeout_s": 10,
        "drain_grace_ms": "5s",
    });
    document["colour"] = json!("red");
    let expected = [
        "member: expected a name of at most 128 letters, digits, '-', '_', '.', ':' and '/', found \"\"",
        "peer_address: must be an address that peers can reach, not an unspecified one",
        "metrics_address: takes the same address and port as `operator_address`",
        "tls.key_path: the file /nowhere/own.key cannot be read: No such file or directory (os error 2)",
        "platform.key_value_address: the field is missing",
        "platform.host_list_address: expected an IP address and port, such as \"192.0.2.1:7000\", found 2380",
        "seed_peers[1]: expected an IP address and port, such as \"192.0.2.1:7000\", found \"entry-2.example:7000\"",
        "seed_peers[2]: must have a port other than 0",
        "partners[1].operator_key_digests[0]: expected a SHA-256 digest of 64 hexadecimal digits, found \"cd\"",
        "partners[2].operator_key_digests: needs at least one element",
        "partners[1].name: repeats `partners[0].name`",
        "partners[1].operator_key_digests[0]: repeats `partners[0].operator_key_digests`",
        "limits.max_body_bytes: must be positive",
        "limits.max_connections: must be at most 65536",
        "limits.drain_grace_ms: expected a whole number in the unit of the field's suffix, found \"5s\"",
        "limits.body_timeout_s: unknown field; the field is `body_timeout_ms`, whose unit is its suffix",
        "colour: unknown field",
    ];
    let mut found = fault_lines(&document);
    let mut expected = expected.map(str::to_owned).to_vec();
    found.sort();
    expected.sort();
    assert_eq!(found, expected);
}

#[test]
fn test_the_fields_of_a_role_are_needed_there_and_refused_elsewhere() {
    let mut document = entry("roles");
    document["role"] = json!("agent");
    let not_for_agent = ["caller_address", "operator_address"]
        .map(|field| format!("{field}: has no meaning for the role agent"));
    assert_eq!(fault_lines(&document), not_for_agent);

    let fields = document.as_object_mut().unwrap();
    fields.remove("caller_address");
    fields.remove("operator_address");
    fields.remove("partners");
    assert_matches!(check(&document).unwrap().role(), RoleSettings::Agent);

    document["role"] = json!("entry");
    let needed = ["caller_address", "operator_address", "partners"]
        .map(|field| format!("{field}: the role entry needs this field"));
    assert_eq!(fault_lines(&document), needed);
    document["member"] = json!("agents/agent-1");
    assert!(fault_lines(&document)[0].starts_with("member: must have the form of a host name"));
}

#[test]
fn test_key_files_are_read_and_compared() {
    let mut document = entry("keys");
    let directory = scratch("keys");
    write_keys(&directory, "other");
    document["tls"]["key_path"] = json!(directory.join("other.key"));
    let mismatch = "tls.key_path: the private key does not belong to the certificate of `tls.certificate_path`";
    assert_eq!(fault_lines(&document), [mismatch]);

    document["tls"]["key_path"] = json!(directory.join("own.crt"));
    let lines = fault_lines(&document);
    assert_eq!(lines.len(), 1);
    assert!(
        lines[0].ends_with("own.crt holds no private key in PEM form"),
        "{lines:?}"
    );
}

#[test]
fn test_a_file_that_is_no_document_is_one_fault() {
    assert_matches!(Settings::read(Path::new("/nowhere/settings.json")), Err(faults) if faults.faults().len() == 1);
    assert_matches!(Settings::parse("{"), Err(faults) if faults.to_string().contains("not JSON"));
    assert_matches!(Settings::parse("[]"), Err(faults) if faults.to_string().contains("expected an object"));
}

#[test]
fn test_the_committed_schema_is_current() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/settings.schema.json");
    let committed: Value = serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap();
    assert_eq!(committed, Settings::schema().to_value());
}
