//! The step from a JSON value to [`Settings`].

use std::net::SocketAddr;
use std::path::PathBuf;

use jujubewall_types::id::MemberName;
use jujubewall_types::member::Role;
use rustls::pki_types::DnsName;
use serde_json::Value;

use super::document::PartnerSettings;
use super::document::PlatformSettings;
use super::document::Settings;
use super::document::TlsSettings;
use super::fault::FaultList;
use super::fault::SettingsProblem;
use super::files::TlsPaths;
use super::files::check_tls;
use super::limits::Limits;
use super::listen::Listener;
use super::listen::check_clashes;
use super::listen::check_peer_address;
use super::object::ObjectReader;
use super::partners::check_partners;

/// The addresses that the process listens on, each if it could be read.
struct ListenAddresses {
    peer: Option<SocketAddr>,
    caller: Option<SocketAddr>,
    operator: Option<SocketAddr>,
    metrics: Option<SocketAddr>,
}

/// Reads the document and notes every fault.
///
/// Returns `None` when a field without a default could not be read.
pub(super) fn read_settings(value: &Value, faults: &FaultList) -> Option<Settings> {
    let mut object = ObjectReader::new(String::new(), value, faults);
    let role = object.required("role");
    let member = read_member(&mut object, faults);
    let host = object.required("host");
    let failure_domain = object.required("failure_domain");
    let region = object.required("region");
    let listen = read_listen_addresses(&mut object, role, faults);
    let peer_bind_address = object.optional("peer_bind_address");
    let tls = read_tls(object.object("tls"), faults);
    let platform = read_platform(object.object("platform"));
    let seed_peers = object.remotes("seed_peers");
    let partners = read_partners(object.objects("partners"), faults);
    if role == Some(Role::Entry) && !object.holds("partners") {
        faults.add("partners", SettingsProblem::NeededForRole(Role::Entry));
    }
    let limits = read_limits(object.optional_object("limits"));
    object.finish();
    Some(Settings {
        role: role?,
        member: member?,
        host: host?,
        failure_domain: failure_domain?,
        region: region?,
        peer_address: listen.peer?,
        peer_bind_address,
        caller_address: listen.caller,
        operator_address: listen.operator,
        metrics_address: listen.metrics?,
        tls: tls?,
        platform: platform?,
        seed_peers,
        partners,
        limits,
    })
}

fn read_member(object: &mut ObjectReader<'_>, faults: &FaultList) -> Option<MemberName> {
    let member: MemberName = object.required("member")?;
    if DnsName::try_from(member.as_str()).is_err() {
        faults.add("member", SettingsProblem::NotCertifiable);
    }
    Some(member)
}

fn read_listen_addresses(
    object: &mut ObjectReader<'_>,
    role: Option<Role>,
    faults: &FaultList,
) -> ListenAddresses {
    let listen = ListenAddresses {
        peer: object.required("peer_address"),
        caller: object.optional("caller_address"),
        operator: object.optional("operator_address"),
        metrics: object.required("metrics_address"),
    };
    for name in ["caller_address", "operator_address"] {
        check_entry_field(object, name, role, faults);
    }
    if let Some(peer) = listen.peer {
        check_peer_address(peer, faults);
    }
    let listener = |path, address| Listener { path, address };
    let listeners = [
        listener("caller_address", listen.caller),
        listener("operator_address", listen.operator),
        listener("metrics_address", listen.metrics),
    ];
    check_clashes(&listeners, faults);
    listen
}

/// Checks that a field is given for an entry and for no other role.
fn check_entry_field(
    object: &ObjectReader<'_>,
    name: &str,
    role: Option<Role>,
    faults: &FaultList,
) {
    match (role, object.holds(name)) {
        (Some(role @ Role::Entry), false) => {
            faults.add(name, SettingsProblem::NeededForRole(role));
        }
        (Some(role @ Role::Agent), true) => {
            faults.add(name, SettingsProblem::NotForRole(role));
        }
        _ => {}
    }
}

fn read_tls(mut object: ObjectReader<'_>, faults: &FaultList) -> Option<TlsSettings> {
    let certificate_path: Option<PathBuf> = object.required("certificate_path");
    let key_path: Option<PathBuf> = object.required("key_path");
    let authority_path: Option<PathBuf> = object.required("authority_path");
    object.finish();
    let paths = TlsPaths {
        certificate: certificate_path.as_deref(),
        key: key_path.as_deref(),
        authority: authority_path.as_deref(),
    };
    check_tls(&paths, faults);
    Some(TlsSettings {
        certificate_path: certificate_path?,
        key_path: key_path?,
        authority_path: authority_path?,
    })
}

fn read_platform(mut object: ObjectReader<'_>) -> Option<PlatformSettings> {
    let key_value_address = object.remote("key_value_address");
    let host_list_address = object.remote("host_list_address");
    let weight_store_address = object.remote("weight_store_address");
    object.finish();
    Some(PlatformSettings {
        key_value_address: key_value_address?,
        host_list_address: host_list_address?,
        weight_store_address: weight_store_address?,
    })
}

fn read_partners(objects: Vec<ObjectReader<'_>>, faults: &FaultList) -> Vec<PartnerSettings> {
    let partners: Vec<_> = objects.into_iter().map(read_partner).collect();
    check_partners(&partners, faults);
    partners.into_iter().flatten().collect()
}

fn read_partner(mut object: ObjectReader<'_>) -> Option<PartnerSettings> {
    let name = object.required("name");
    let operator_key_digests = object.filled_leaves("operator_key_digests");
    object.finish();
    Some(PartnerSettings {
        name: name?,
        operator_key_digests,
    })
}

fn read_limits(mut object: ObjectReader<'_>) -> Limits {
    let limits = Limits::read(&mut object);
    object.finish();
    limits
}
