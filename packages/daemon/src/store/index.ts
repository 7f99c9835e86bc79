export * from "./http_exchange.js";
export * from "./http_object_store.js";
