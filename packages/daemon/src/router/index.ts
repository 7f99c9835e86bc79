export * from "./caller_server.js";
export * from "./router_host.js";
