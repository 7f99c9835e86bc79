export * from "./chat_event_reader.js";
export * from "./engine_client.js";
export * from "./engine_error.js";
