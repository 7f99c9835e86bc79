export * from "./execution_log.js";
export * from "./expected_answer.js";
export * from "./http_stand_in.js";
export * from "./instance_list.js";
export * from "./listen.js";
export * from "./model_engine.js";
export * from "./object_api.js";
export * from "./plain_service.js";
