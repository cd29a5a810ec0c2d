//! Decisions about requests on a fleet whose engines pass activations among
//! themselves along a path that the entry names.
//!
//! | module | decides | load or failure that it answers |
//! |---|---|---|
//! | [`routes`] | the route and the service of a request | changes of configuration, split routes |
//! | [`instances`] | what is believed of each upstream | stale entries, dark and failing upstreams |
//! | [`layer_path`] | the path of a stream | full memory, uneven load, lost parts |
//! | [`service_choice`] | the upstream of a call | slow and failing upstreams, full slots |
//! | [`repeat_budget`] | whether a request may be sent once more | retry storms |
//! | [`comeback`] | when a rejected client comes back | bursts above capacity |
//! | [`events`] | which events of a stream are passed on | torn and doubled events |
//! | [`silence`] | when a silent stream is given up | dark and cut-off parts |

pub mod comeback;
pub mod events;
pub mod instances;
pub mod layer_path;
pub mod planner_watch;
pub mod repeat_budget;
pub mod routes;
pub mod service_choice;
pub mod silence;
