export * from "./choose_endpoint.js";
export * from "./answer_report.js";
export { headRefusal } from "./direct_admission.js";
export * from "./direct_event.js";
export {
  canServe,
  createDirectState,
  type DirectOptions,
  type DirectState,
  isDirectoryUnreliable,
  localInFlightByEndpoint,
} from "./direct_state.js";
export * from "./endpoint_directory.js";
export * from "./direct_endpoint.js";
export {
  olderReport,
  reportKeyOf,
  type SuspectReport,
  SuspectReportSchema,
} from "./suspect_report.js";
export { STOP_MARGIN_MS } from "./planned_stop.js";
export * from "./reduce_direct.js";
export * from "./fleet_size.js";
export * from "./retry_balance.js";
export * from "./stream_origins.js";
export type { ServiceVersions } from "./version_history.js";
export * from "./routing_config_index.js";
export * from "./routing_config.js";
export * from "./prompt_cache_index.js";
export * from "./directory_position.js";
export * from "./directory_watcher_election.js";
export { requestsInEvacuatedDomains } from "./evacuated_domains.js";
export { limitReports } from "./endpoint_limits.js";
export { type LimitReport, LimitReportSchema } from "./request_limit.js";
