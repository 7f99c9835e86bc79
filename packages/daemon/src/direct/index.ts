export * from "./call_dialect.js";
export * from "./collection.js";
export * from "./collection_watcher.js";
export * from "./direct_router_host.js";
export * from "./direct_settings.js";
export type { EvacuationRecord } from "./evacuation_sync.js";
export * from "./hop_headers.js";
export * from "./document_folder.js";
export * from "./shared_document.js";
export * from "./stdout_log.js";
export {
  HttpExchange,
  HttpExchangeError,
  type HttpResponse,
} from "../store/http_exchange.js";
export type { Logger } from "../logging/index.js";
export { httpConnector } from "../net/http_socket.js";
export { SystemClock } from "../system_clock.js";
