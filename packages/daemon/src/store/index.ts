export * from "./http_object_store.js";
