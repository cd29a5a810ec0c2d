//! Stand-ins and cases of the review: each case starts gateways as processes of their own
//! before a store, runners and clients in this process.

mod http;
mod killed_followers;
mod leaving_clients;
mod relay;
mod resting_followers;
mod silent_store;
mod store;
mod world;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let is_broken = match case.as_str() {
        "killed-followers" => killed_followers::play(),
        "leaving-clients" => leaving_clients::play(),
        "resting-followers" => resting_followers::play(),
        "silent-store" => silent_store::play(),
        _ => world::cannot_run("no such case"),
    };
    std::process::exit(i32::from(is_broken));
}
