//! Decisions about requests on a fleet whose engines pass activations to each other
//! along a path that the gateway chooses.
//!
//! | module | decides | load or failure that it answers |
//! |---|---|---|
//! | [`routes`] | the route and the service of a request | changes of configuration, split routes |
//! | [`instances`] | which upstreams are usable, and their load | stale entries, unreachable and failing upstreams |
//! | [`layer_path`] | the path of a stream | full memory, uneven load, lost parts |
//! | [`demand`] | how much capacity a stream leaves free for more urgent ones | bursts of less urgent streams |
//! | [`service_choice`] | the upstream of a call | slow and failing upstreams, full slots |
//! | [`pace`] | how many requests are started at a new or recovered upstream | an idle upstream that all gateways choose at once |
//! | [`explain`] | nothing; it tells where a request would go | questions of operators |
//! | [`retry_budget`] | whether a request may be sent again | retry storms |
//! | [`retry_schedule`] | when a rejected client should retry | bursts above capacity |
//! | [`repair_estimate`] | when a client should return if layers are missing | engines of all domains lost at once |
//! | [`events`] | which events of a stream are sent to the client | incomplete and repeated events |
//! | [`gossip`], [`gossip_timing`] | which gateway gets the next message, and when | fleets of any size, lost messages |
//! | [`gossip_datagram`] | what follows a message in its datagram | gateways of several builds |
//! | [`poison_parts`] | which requests are not sent because a part of their prompt crashes engines | a prompt part that crashes one engine after the other |
//! | [`poison_requests`] | which requests are not sent because they crash upstreams | a request that crashes one upstream after the other |
//! | [`recent_successes`] | what was in successful runs before or after a crash | crashes for other reasons |
//! | [`claims`] | which gateway holds a role for the fleet | killed, frozen and partitioned gateways |
//! | [`follower_election`] | which gateways follow the store | a store that allows few calls or rejects some clients |
//! | [`planner_election`] | which gateway plans when no other does | a planner that is lost or stalled |
//! | [`entry_log`] | which upstreams' entries are new to another gateway | many changes at once |
//! | [`entry_sync`], [`entry_bounds`] | when entries are fetched from a peer, and which one | followers that the store turns away, entries that differ |
//! | [`store_answers`] | nothing; it keeps how old the news from the store is | followers of the store that are lost, cut off, refused, slow or just starting |
//! | [`store_belief`] | whether the store serves this gateway, or any | failed calls, silent connections and peers, outages |
//! | [`store_timing`] | how long each step may take by which changes in the store are learned | lost connections, followers and outages, one after the other |
//! | [`absences`] | which upstreams without an entry are kept | entries that lapsed while the store was away |
//! | [`answer_memory`] | how much of unfinished answers is held | upstreams that send bytes without end to many requests |
//! | [`request_memory`] | how much of unfinished requests is held, and which gives way | clients that leave large bodies and heads unfinished |
//! | [`silence`] | when a silent stream is given up | unreachable and partitioned parts |
//! | [`drain`] | which requests a draining gateway accepts | gateways stopped one after another |

pub mod absences;
pub mod answer_memory;
pub mod attempts;
pub mod claims;
pub mod demand;
pub mod drain;
pub mod entry_bounds;
pub mod entry_log;
pub mod entry_sync;
pub mod events;
pub mod explain;
pub mod follower_election;
pub mod gossip;
pub mod gossip_datagram;
pub mod gossip_timing;
pub mod instances;
pub mod layer_path;
pub mod pace;
pub mod planner_election;
pub mod poison_parts;
pub mod poison_requests;
pub mod recent_successes;
pub mod rendezvous;
pub mod repair_estimate;
pub mod request_memory;
pub mod retry_budget;
pub mod retry_schedule;
pub mod routes;
pub mod service_choice;
pub mod silence;
pub mod store_answers;
pub mod store_belief;
pub mod store_timing;
