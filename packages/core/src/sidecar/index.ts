export * from "./reduce_sidecar.js";
export * from "./sidecar_event.js";
export {
  createSidecarState,
  endpointStatusOf,
  loadTokensOf,
} from "./sidecar_state.js";
export type {
  AttemptState as SidecarAttemptState,
  SidecarOptions,
  SidecarState,
} from "./sidecar_state.js";
export * from "./engine_dialect.js";
