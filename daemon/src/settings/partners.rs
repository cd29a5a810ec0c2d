//! Checks of the partners in the settings.

use super::document::PartnerSettings;
use super::fault::FaultList;
use super::fault::SettingsProblem;

/// Checks that no partner and no key of a partner is listed twice.
///
/// An element that could not be read is `None` and keeps the others' places.
pub(super) fn check_partners(partners: &[Option<PartnerSettings>], faults: &FaultList) {
    for (index, partner) in partners.iter().enumerate() {
        let Some(partner) = partner else {
            continue;
        };
        let earlier = &partners[..index];
        if let Some(first) = position(earlier, |other| other.name == partner.name) {
            let problem = SettingsProblem::Repeated(format!("partners[{first}].name"));
            faults.add(format!("partners[{index}].name"), problem);
        }
        check_operator_keys(index, partner, earlier, faults);
    }
}

/// Checks that no key of a partner belongs to an earlier partner too.
fn check_operator_keys(
    index: usize,
    partner: &PartnerSettings,
    earlier: &[Option<PartnerSettings>],
    faults: &FaultList,
) {
    for (place, digest) in partner.operator_key_digests.iter().enumerate() {
        let holds_key = |other: &PartnerSettings| other.operator_key_digests.contains(digest);
        if let Some(first) = position(earlier, holds_key) {
            let other = format!("partners[{first}].operator_key_digests");
            let path = format!("partners[{index}].operator_key_digests[{place}]");
            faults.add(path, SettingsProblem::Repeated(other));
        }
    }
}

fn position(
    partners: &[Option<PartnerSettings>],
    matches: impl Fn(&PartnerSettings) -> bool,
) -> Option<usize> {
    partners
        .iter()
        .position(|partner| partner.as_ref().is_some_and(&matches))
}
