//! Tests of the cloud, the host list and the platform's faults, through the HTTP clients.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::time::Duration;

use pomelostack_lib::app_client::AppClient;
use pomelostack_lib::app_server::AppRequest;
use pomelostack_lib::app_server::AppServer;
use pomelostack_lib::cloud::CloudApi;
use pomelostack_lib::cloud::CloudError;
use pomelostack_lib::cloud::HostMarket;
use pomelostack_lib::cloud::HostOrder;
use pomelostack_lib::cloud::HostPrice;
use pomelostack_lib::cloud_client::CloudClient;
use pomelostack_lib::engine::ModelEngine;
use pomelostack_lib::engine_client::EngineClient;
use pomelostack_lib::host_list::HostEntry;
use pomelostack_lib::host_list::HostList;
use pomelostack_lib::host_list::HostRole;
use pomelostack_lib::host_list::HostState;
use pomelostack_lib::host_list_client::HostListClient;
use pomelostack_lib::http_client::HttpClient;
use pomelostack_lib::http_client::HttpClientLimits;
use pomelostack_lib::ids::AttemptNumber;
use pomelostack_lib::ids::ClassName;
use pomelostack_lib::ids::FencingToken;
use pomelostack_lib::ids::HostId;
use pomelostack_lib::ids::RequestId;
use pomelostack_lib::ids::ServiceName;
use pomelostack_lib::ids::ZoneName;
use testutils::app_standin::AppFault;
use testutils::backend_fleet::HostJournal;
use testutils::bounded_wait::WAIT_TIMEOUT;
use testutils::bounded_wait::wait_for;
use testutils::cloud_standin::CloudFault;
use testutils::cloud_standin::CloudSettings;
use testutils::cloud_standin::StartRefusal;
use testutils::host_list_standin::HostListFault;
use testutils::log_standin::LogFault;
use testutils::platform_standin::PlatformSettings;
use testutils::platform_standin::PlatformStandin;

/// Reclaim notice that is too long to run out during a test.
const LONG_NOTICE_MS: u64 = 3_600_000;

fn name<T: TryFrom<&'static str>>(raw: &'static str) -> T {
    T::try_from(raw).unwrap_or_else(|_| panic!("bad name {raw}"))
}

fn settings() -> PlatformSettings {
    PlatformSettings::small(name("briefings"), name("lookups")).unwrap()
}

fn start(settings: PlatformSettings) -> PlatformStandin {
    PlatformStandin::start(settings).unwrap()
}

fn cloud_client(platform: &PlatformStandin) -> CloudClient {
    CloudClient::new(platform.cloud_address(), HttpClientLimits::default())
}

fn host_list_client(platform: &PlatformStandin) -> HostListClient {
    HostListClient::new(platform.host_list_address(), HttpClientLimits::default())
}

fn order(id: &str, zone: &'static str) -> HostOrder {
    HostOrder {
        order_id: id.to_owned(),
        service: name("briefings"),
        zone: name(zone),
        class: name("standard"),
        market: HostMarket::OnDemand,
    }
}

fn find_host(platform: &PlatformStandin, host: &HostId) -> Option<HostEntry> {
    host_list_client(platform).hosts().unwrap().into_iter().find(|entry| entry.host == *host)
}

#[test]
fn initial_servers() {
    let platform = start(settings());
    let hosts = host_list_client(&platform).hosts().unwrap();
    let of_service = |service: &'static str| {
        let duty = HostRole::Backend(name::<ServiceName>(service));
        hosts.iter().filter(move |entry| entry.duty == duty)
    };
    let zones: Vec<_> = of_service("briefings").map(|entry| entry.zone.as_str()).collect();
    assert_eq!(zones, ["zone-a", "zone-b", "zone-c", "zone-d"]);
    assert_eq!(of_service("lookups").count(), 2);
    for entry in of_service("briefings") {
        let engine = EngineClient::new(entry.address.parse().unwrap(), HttpClientLimits::default());
        assert_eq!(engine.load_report().unwrap().running, 0);
    }
}

#[test]
fn idempotent_orders() {
    let platform = start(settings());
    let cloud = cloud_client(&platform);
    let host = cloud.start_host(&order("one", "zone-b"), None).unwrap();
    assert_eq!(cloud.start_host(&order("one", "zone-b"), None), Ok(host.clone()));
    wait_for(|| find_host(&platform, &host).is_some());
    let entry = find_host(&platform, &host).unwrap();
    assert_eq!((entry.zone, entry.state), (name("zone-b"), HostState::Live));
    assert_eq!(platform.engines().len(), 5);
    cloud.stop_host(&host, None).unwrap();
    cloud.stop_host(&host, None).unwrap();
    assert_eq!(find_host(&platform, &host), None);
    assert!(!platform.fleet().get(&host).unwrap().is_up());
}

#[test]
fn stopped_while_booting() {
    let cloud = CloudSettings { boot_delay: Duration::from_secs(3600), ..Default::default() };
    let platform = start(PlatformSettings { cloud, ..settings() });
    let cloud = cloud_client(&platform);
    let host = cloud.start_host(&order("one", "zone-b"), None).unwrap();
    assert_eq!(find_host(&platform, &host), None);
    cloud.stop_host(&host, None).unwrap();
    assert_eq!(platform.engines().len(), 4);
}

#[test]
fn lost_start_reply() {
    let platform = start(settings());
    let cloud = cloud_client(&platform);
    platform.cloud().apply_fault(CloudFault::LoseReplies(1));
    let outcome = cloud.start_host(&order("one", "zone-a"), None);
    assert!(matches!(outcome, Err(CloudError::OutcomeUnknown(_))), "{outcome:?}");
    let host = cloud.start_host(&order("one", "zone-a"), None).unwrap();
    wait_for(|| find_host(&platform, &host).is_some());
    assert_eq!(platform.engines().len(), 5);
}

#[test]
fn refused_starts() {
    let platform = start(settings());
    let cloud = cloud_client(&platform);
    let refusal = StartRefusal { zone: Some(name::<ZoneName>("zone-a")), ..Default::default() };
    platform.cloud().apply_fault(CloudFault::RefuseStarts(refusal));
    let refused = cloud.start_host(&order("one", "zone-a"), None);
    assert!(matches!(refused, Err(CloudError::NoCapacity(_))), "{refused:?}");
    cloud.start_host(&order("two", "zone-b"), None).unwrap();
    let refusal = StartRefusal { class: Some(name::<ClassName>("standard")), ..Default::default() };
    platform.cloud().apply_fault(CloudFault::RefuseStarts(refusal));
    let refused = cloud.start_host(&order("three", "zone-c"), None);
    assert!(matches!(refused, Err(CloudError::NoCapacity(_))), "{refused:?}");
    platform.cloud().apply_fault(CloudFault::AllowStarts);
    cloud.start_host(&order("one", "zone-a"), None).unwrap();
}

#[test]
fn stale_fencing_token() {
    let cloud = CloudSettings { fencing_check: true, ..Default::default() };
    let platform = start(PlatformSettings { cloud, ..settings() });
    let cloud = cloud_client(&platform);
    let host = cloud.start_host(&order("one", "zone-a"), Some(FencingToken(8))).unwrap();
    let old = Some(FencingToken(7));
    let fenced = CloudError::Fenced(FencingToken(8));
    assert_eq!(cloud.start_host(&order("two", "zone-a"), old), Err(fenced.clone()));
    assert_eq!(cloud.stop_host(&host, old), Err(fenced));
    wait_for(|| find_host(&platform, &host).is_some());
}

#[test]
fn reclaimed_host() {
    let platform = start(settings());
    let cloud = cloud_client(&platform);
    let (host, engine) = platform.engines().remove(0);
    let left_ms = LONG_NOTICE_MS;
    platform.cloud().apply_fault(CloudFault::ReclaimHost { host: host.clone(), left_ms });
    let notices = cloud.notices().unwrap();
    assert_eq!(notices.len(), 1);
    assert_eq!(notices[0].host, host);
    assert!(notices[0].left_ms <= LONG_NOTICE_MS && notices[0].left_ms > 0);
    assert_eq!(find_host(&platform, &host).unwrap().state, HostState::Leaving);
    assert!(engine.is_up());
    // A later notice with an earlier deadline replaces the first.
    platform.cloud().apply_fault(CloudFault::ReclaimHost { host: host.clone(), left_ms: 1 });
    wait_for(|| !engine.is_up() && find_host(&platform, &host).is_none());
    assert_eq!(cloud.notices().unwrap(), []);
}

#[test]
fn reclaimed_zone() {
    let platform = start(settings());
    let on_demand = cloud_client(&platform).start_host(&order("safe", "zone-a"), None).unwrap();
    wait_for(|| find_host(&platform, &on_demand).is_some());
    let zone = name::<ZoneName>("zone-a");
    platform.cloud().apply_fault(CloudFault::ReclaimZone { zone: zone.clone(), left_ms: 0 });
    let in_zone = || {
        let hosts = host_list_client(&platform).hosts().unwrap().into_iter();
        hosts.filter(|entry| entry.zone == zone).map(|entry| entry.host).collect::<Vec<_>>()
    };
    wait_for(|| in_zone() == [on_demand.clone()]);
    let up = |host: &HostId| platform.fleet().get(host).unwrap().is_up();
    assert!(up(&on_demand));
    wait_for(|| platform.fleet().all().iter().filter(|(_, found)| !found.is_up()).count() == 2);
}

#[test]
fn reclaimed_entry_host() {
    let platform = start(settings());
    let entry = HostEntry {
        host: name("entry-1"),
        address: "127.0.0.1:1".to_owned(),
        zone: name("zone-c"),
        class: name("small"),
        market: HostMarket::Reclaimable,
        state: HostState::Live,
        duty: HostRole::Entry,
    };
    platform.registry().put(entry.clone());
    let (zone, left_ms) = (entry.zone, LONG_NOTICE_MS);
    platform.cloud().apply_fault(CloudFault::ReclaimZone { zone, left_ms });
    let notices = cloud_client(&platform).notices().unwrap();
    assert!(notices.iter().any(|notice| notice.host == entry.host));
    assert_eq!(find_host(&platform, &entry.host).unwrap().state, HostState::Leaving);
}

#[test]
fn changed_price() {
    let price = |market, micros_per_hour| HostPrice {
        zone: name("zone-a"),
        class: name("standard"),
        market,
        micros_per_hour,
    };
    let prices = vec![price(HostMarket::OnDemand, 900), price(HostMarket::Reclaimable, 300)];
    let cloud = CloudSettings { prices: prices.clone(), ..Default::default() };
    let platform = start(PlatformSettings { cloud, ..settings() });
    let cloud = cloud_client(&platform);
    assert_eq!(cloud.prices().unwrap(), prices);
    let dearer = price(HostMarket::Reclaimable, 800);
    platform.cloud().apply_fault(CloudFault::SetPrice(dearer.clone()));
    assert_eq!(cloud.prices().unwrap(), [prices[0].clone(), dearer]);
    platform.cloud().apply_fault(CloudFault::Down(true));
    assert!(matches!(cloud.prices(), Err(CloudError::OutcomeUnknown(_))));
}

#[test]
fn stale_host_list() {
    let platform =
        start(PlatformSettings { host_list_lag: Duration::from_secs(3600), ..settings() });
    let host = platform.engines().remove(0).0;
    cloud_client(&platform).stop_host(&host, None).unwrap();
    assert_eq!(find_host(&platform, &host).unwrap().state, HostState::Live);
    assert!(!platform.fleet().get(&host).unwrap().is_up());
    platform.host_list().apply_fault(HostListFault::Lag { lag_ms: 0 });
    assert_eq!(find_host(&platform, &host), None);
    platform.host_list().apply_fault(HostListFault::Down(true));
    assert!(host_list_client(&platform).hosts().is_err());
}

#[test]
fn journals_outlive_servers() {
    let platform = start(settings());
    let (host, app) = platform.apps().remove(0);
    let client = AppClient::new(app.address(), HttpClientLimits::default());
    let request = AppRequest {
        request: RequestId::default(),
        attempt: AttemptNumber(1),
        method: "POST".to_owned(),
        path: "/alerts".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        idempotency_key: Some("gust-1".to_owned()),
        fence: None,
    };
    client.call(&request, WAIT_TIMEOUT).unwrap();
    app.apply_fault(AppFault::Crash { restart_after_ms: None });
    let edge = HttpClient::new(platform.cloud_address(), HttpClientLimits::default());
    let journals: Vec<HostJournal> = edge.get("/journals").unwrap().json().unwrap();
    let found = journals.iter().find(|journal| journal.host == host).unwrap();
    assert_eq!(found.entries.len(), 1);
    assert_eq!(found.entries[0].key.as_deref(), Some("gust-1"));
}

#[test]
fn faults_over_http() {
    let platform = start(settings());
    let post = |address, body: &str| {
        let edge = HttpClient::new(address, HttpClientLimits::default());
        edge.call(&edge.pooled_call("POST", "/faults", &[], body.as_bytes())).unwrap().status
    };
    let (_, engine) = platform.engines().remove(0);
    for (address, body) in [
        (platform.log_address(), r#"{"down":true}"#),
        (platform.cloud_address(), r#"{"refuse_starts":{"zone":"zone-a"}}"#),
        (platform.host_list_address(), r#"{"lag":{"lag_ms":5}}"#),
        (engine.address(), r#"{"crash":{"restart_after_ms":null}}"#),
        (platform.apps()[0].1.address(), r#"{"slow":{"extra_ms":5}}"#),
    ] {
        assert_eq!(post(address, body), 200, "{body}");
    }
    wait_for(|| !engine.is_up());
    assert_eq!(post(platform.log_address(), r#"{"unheard_of":1}"#), 400);
    assert_eq!(serde_json::to_string(&LogFault::ReleaseHeld).unwrap(), r#""release_held""#);
}

#[test]
fn consecutive_ports() {
    // Another process may use a port of the range, so several ranges are tried.
    let started = (20_000_u16..30_000).step_by(500).find_map(|first| {
        let settings = PlatformSettings { first_port: Some(first), ..settings() };
        PlatformStandin::start(settings).ok().map(|platform| (first, platform))
    });
    let (first, platform) = started.unwrap();
    let fixed = [platform.log_address(), platform.cloud_address(), platform.host_list_address()];
    let servers = platform.fleet().all().into_iter().map(|(_, backend)| backend.address());
    let ports: Vec<_> = fixed.into_iter().chain(servers).map(|address| address.port()).collect();
    assert_eq!(ports, (first..first + 9).collect::<Vec<_>>());
}
