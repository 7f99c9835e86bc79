#!/usr/bin/env node
// Runs one stand-in as a process. Prints its URLs as a line of JSON once it is
// ready, and stops on SIGTERM or SIGINT.
import { parseArgs } from "node:util";
import { InstanceList } from "./instance_list.js";
import { ModelEngine } from "./model_engine.js";
import { DEFAULT_ENGINE_OPTIONS } from "./model_engine_options.js";
import { ObjectApi } from "./object_api.js";
import { PlainService } from "./plain_service.js";
import type { StandIn } from "./stand_in.js";
import { TcpProxy } from "./tcp_proxy.js";
import { WeightStore } from "./weight_store.js";

const USAGE = `Usage: stand_in_main <kind> [--<option> <value>]...
  object-api     --port
  instance-list  --port --lag-ms
  plain-service  --port --delay-ms
  weight-store   --port --requests-per-s --burst --blob <name>=<bytes>...
  tcp-proxy      --port --target-port
  model-engine   ${Object.keys(DEFAULT_ENGINE_OPTIONS).map(flagOf).join(" ")}`;

/**
 * Default options of the kind `weight-store`, which is a store of model
 * weights.
 */
const WEIGHT_STORE_DEFAULTS = { port: 0, requestsPerS: 10, burst: 10 };

function flagOf(field: string): string {
  return `--${field.replace(/[A-Z]/g, (c) => `-${c.toLowerCase()}`)}`;
}

interface Flags<T> {
  readonly values: T;
  /** Size in bytes of each `--blob`, by name. */
  readonly blobs: Readonly<Record<string, number>>;
}

/** Reads the flag of each field of `defaults`, and all `--blob` flags. */
function readFlags<T extends object>(defaults: T, args: string[]): Flags<T> {
  const fields = Object.keys(defaults);
  const options = Object.fromEntries(
    fields.map((
      field,
    ) => [flagOf(field).slice(2), { type: "string" as const }]),
  );
  const { values } = parseArgs({
    args,
    options: { ...options, blob: { type: "string", multiple: true } },
  });
  const flagTexts = values as Record<string, string | undefined>;
  const read = fields.flatMap((field) => {
    const text = flagTexts[flagOf(field).slice(2)];
    return text === undefined ? [] : [[field, parseValue(field, text)]];
  });
  const blobs = (values.blob ?? []).map((text) => {
    const [name, bytes] = text.split("=");
    return [name, parseValue("blob", bytes)];
  });
  return {
    values: { ...defaults, ...Object.fromEntries(read) },
    blobs: Object.fromEntries(blobs),
  };
}

function parseValue(field: string, text: string): number | boolean {
  if (text === "true" || text === "false") {
    return text === "true";
  }
  const value = Number(text);
  if (!Number.isFinite(value)) {
    throw new TypeError(`${flagOf(field)} needs a number, true or false.`);
  }
  return value;
}

function createStandIn(kind: string | undefined, args: string[]): StandIn {
  switch (kind) {
    case "object-api":
      return new ObjectApi(readFlags({ port: 0 }, args).values);
    case "instance-list":
      return new InstanceList(readFlags({ port: 0, lagMs: 0 }, args).values);
    case "plain-service":
      return new PlainService(readFlags({ port: 0, delayMs: 0 }, args).values);
    case "weight-store": {
      const { values, blobs } = readFlags(WEIGHT_STORE_DEFAULTS, args);
      return new WeightStore({ ...values, blobs });
    }
    case "tcp-proxy":
      return new TcpProxy(readFlags({ port: 0, targetPort: 0 }, args).values);
    case "model-engine":
      return new ModelEngine(readFlags(DEFAULT_ENGINE_OPTIONS, args).values);
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
