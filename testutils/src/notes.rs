//! Release notes and their items, as JSON documents with defaults.

use jujubewall_types::digest::Digest;
use jujubewall_types::note::ReleaseNote;
use serde_json::Value;
use serde_json::json;

/// Builds a note from the JSON of its three parts.
///
/// # Panics
///
/// Panics if a part does not have the form of a note.
pub fn note(
    id: &str,
    partner: &str,
    added: &Value,
    changed: &Value,
    withdrawn: &Value,
) -> ReleaseNote {
    let document = json!({
        "id": id, "partner": partner,
        "added": added, "changed": changed, "withdrawn": withdrawn,
    });
    serde_json::from_value(document).expect("the document is a note")
}

/// Builds a model; the first version is active.
pub fn model(name: &str, layer_count: u32, versions: &[&str]) -> Value {
    let list: Vec<Value> = versions
        .iter()
        .map(|version| json!({ "name": version, "layer_bytes": 1000 }))
        .collect();
    json!({
        "name": name, "layer_count": layer_count, "active_version": versions[0],
        "versions": list, "max_prompt_tokens": 4096, "max_answer_tokens": 1024,
    })
}

/// Builds an adapter.
pub fn adapter(name: &str, model: &str) -> Value {
    json!({ "name": name, "model": model, "size_bytes": 1000 })
}

/// Builds an account whose key is its name.
pub fn account(name: &str, weight: u32) -> Value {
    let digest = Digest::of(name.as_bytes());
    json!({
        "name": name, "key_digests": [digest.to_string()], "weight": weight,
        "max_in_flight": 100, "requests_per_s": 50,
    })
}

/// Builds an engine whose address follows from `number`.
pub fn engine(number: u32, assignment: Value) -> Value {
    let mut profile = json!({
        "accelerator": "a1", "checks_fencing": true, "max_layers": 20,
        "decode_token_layers_per_s": 1000, "prefill_token_layers_per_s": 10000,
    });
    if !assignment.is_null() {
        profile["assignment"] = assignment;
    }
    upstream(number, &json!({ "engine": profile }))
}

/// Builds a plain service whose address follows from `number`.
pub fn service(number: u32, service: &str, idempotent: bool) -> Value {
    upstream(
        number,
        &json!({ "service": { "service": service, "idempotent": idempotent } }),
    )
}

fn upstream(number: u32, kind: &Value) -> Value {
    let address = format!(
        "10.{}.{}.{}",
        number >> 16 & 255,
        number >> 8 & 255,
        number & 255
    );
    json!({
        "name": format!("u{number}"), "host": format!("h{number}"), "failure_domain": "north",
        "address": format!("{address}:8000"), "agent_address": format!("{address}:7000"),
        "kind": kind,
    })
}

/// Builds an assignment.
pub fn assignment(model: &str, version: &str, first: u32, end: u32) -> Value {
    json!({ "model": model, "version": version, "layers": { "first": first, "end": end } })
}
