//! Opens connections to servers that this host did not reach, to find out whether it does again.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::connection_pool::CallError;
use crate::gateway::gateway_state::GatewayState;
use crate::ids::ServerKey;
use crate::ids::ServiceName;

/// Minimum time between two looks for trials that are due.
const MIN_LOOK_PERIOD: Duration = Duration::from_millis(50);

/// Makes trials while there are servers that this host does not reach.
pub async fn run_trials(state: Rc<GatewayState>) {
    loop {
        let next = state.reach.borrow().next_trial_at();
        match next {
            None => state.trial_hint.notified().await,
            Some(at) => {
                let wait = at.since(state.now()).max(MIN_LOOK_PERIOD);
                // A hint may bring the next trial forward.
                let hint = async {
                    tokio::time::sleep(MIN_LOOK_PERIOD).await;
                    state.trial_hint.notified().await;
                };
                let _ = tokio::time::timeout(wait, hint).await;
            }
        }
        state.expire_reach();
        for (service, listed) in state.unreached_servers() {
            let due = state.reach.borrow_mut().take_trials(state.now(), &service, &listed);
            for key in due {
                tokio::task::spawn_local(try_server(state.clone(), key, service.clone()));
            }
        }
    }
}

/// Opens a connection to a server. It is kept for the next attempt there.
pub async fn try_server(state: Rc<GatewayState>, key: ServerKey, service: ServiceName) {
    let address = state.directory.borrow().get(key).map(|server| server.entry.address);
    if let Some(address) = address {
        let begun_at = state.now();
        match state.pool.open_trial(address).await {
            Ok(connection) => {
                if state.on_trial_opened(key, &service) {
                    connection.keep_as_spare();
                }
            }
            Err(CallError::Unopened { failure, .. }) => {
                state.on_server_unopened(key, &service, begun_at, failure);
            }
            // A connection was opened, and could not be used.
            Err(_) => {}
        }
    }
    state.reach.borrow_mut().end_trial(key);
}
