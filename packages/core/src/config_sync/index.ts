export { ACTIVE_KEY, sectionKey, versionKey } from "./config_sync_objects.js";
export * from "./config_sync_event.js";
export {
  type ConfigSyncOptions,
  type ConfigSyncState,
  createConfigSyncState,
  hasVersionInForce,
  highestKnownVersion,
  versionInForce,
} from "./config_sync_state.js";
export * from "./reduce_config_sync.js";
