#!/usr/bin/env node
import { parseArgs } from "node:util";
import type { HttpStandIn } from "./http_stand_in.js";
import { InstanceList } from "./instance_list.js";
import { DEFAULT_ENGINE_OPTIONS, ModelEngine } from "./model_engine.js";
import { ObjectApi } from "./object_api.js";
import { PlainService } from "./plain_service.js";

const USAGE = `Usage: stand_in_main <kind> [--<option> <value>]...
  object-api     --port
  instance-list  --port --lag-ms
  plain-service  --port --delay-ms
  model-engine   ${Object.keys(DEFAULT_ENGINE_OPTIONS).map(flagOf).join(" ")}`;

function flagOf(field: string): string {
  return `--${field.replace(/[A-Z]/g, (c) => `-${c.toLowerCase()}`)}`;
}

/** Reads flags of the same names and types as the fields of `defaults`. */
function readFlags<T extends object>(defaults: T, args: string[]): T {
  const fields = Object.keys(defaults) as (keyof T & string)[];
  const options = Object.fromEntries(
    fields.map((
      field,
    ) => [flagOf(field).slice(2), { type: "string" as const }]),
  );
  const { values } = parseArgs({ args, options });
  const read = fields.flatMap((field) => {
    const text = values[flagOf(field).slice(2)];
    return text === undefined ? [] : [[field, parseValue(field, text)]];
  });
  return { ...defaults, ...Object.fromEntries(read) };
}

function parseValue(field: string, text: string): number | boolean {
  const value: unknown = JSON.parse(text);
  if (typeof value !== "number" && typeof value !== "boolean") {
    throw new TypeError(`${flagOf(field)} needs a number, true or false`);
  }
  return value;
}

function createStandIn(kind: string | undefined, args: string[]): HttpStandIn {
  switch (kind) {
    case "object-api":
      return new ObjectApi(readFlags({ port: 0 }, args));
    case "instance-list":
      return new InstanceList(readFlags({ port: 0, lagMs: 0 }, args));
    case "plain-service":
      return new PlainService(readFlags({ port: 0, delayMs: 0 }, args));
    case "model-engine":
      return new ModelEngine(readFlags(DEFAULT_ENGINE_OPTIONS, args));
    default:
      throw new TypeError(USAGE);
  }
}

const [kind, ...args] = process.argv.slice(2);
const standIn = createStandIn(kind, args);
await standIn.start();
console.log(JSON.stringify({
  ready: true,
  url: standIn.url,
  control_url: standIn.controlUrl,
}));
for (const signal of ["SIGTERM", "SIGINT"] as const) {
  process.once(signal, () => void standIn.dispose());
}
