export * from "./reduce_router.js";
export * from "./router_event.js";
export { createRouterState } from "./router_state.js";
export type {
  ExplainStep,
  RequestState,
  RouterOptions,
  RouterState,
} from "./router_state.js";
export { requestErrors } from "./request_errors.js";
export * from "./list_models.js";
