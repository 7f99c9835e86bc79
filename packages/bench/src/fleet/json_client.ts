import { httpConnector } from "@anvildeal/daemon";
import { Agent, request } from "undici";
import { FleetError } from "./fleet_error.js";

const CALL_TIMEOUT_MS = 5000;

/** Closes idle connections after 1 s, because processes start and end often. */
const agent = new Agent({
  keepAliveTimeout: 1000,
  connections: 4,
  connect: httpConnector(CALL_TIMEOUT_MS),
});

export interface JsonCall {
  readonly method?: "GET" | "PUT" | "POST" | "DELETE";
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
}

export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/**
 * Calls an HTTP interface; returns an answer of any status. Rejects only when
 * no complete answer arrived in time. The body is a string if it is not JSON.
 */
export async function callJson(
  url: string,
  call: JsonCall = {},
): Promise<JsonAnswer> {
  const hasBody = call.body !== undefined;
  const response = await request(url, {
    dispatcher: agent,
    method: call.method ?? "GET",
    headers: {
      ...(hasBody ? { "content-type": "application/json" } : {}),
      ...call.headers,
    },
    body: hasBody ? JSON.stringify(call.body) : null,
    signal: AbortSignal.timeout(call.timeoutMs ?? CALL_TIMEOUT_MS),
  });
  const text = await response.body.text();
  return { status: response.statusCode, body: parseOrText(text) };
}

/**
 * Calls an HTTP interface as {@link callJson} does, but throws
 * {@link FleetError} if the status of the answer is 300 or higher.
 */
export async function callJsonOrThrow(
  url: string,
  call: JsonCall = {},
): Promise<unknown> {
  const answer = await callJson(url, call);
  if (answer.status >= 300) {
    throw new FleetError(
      `${call.method ?? "GET"} ${url} answered ${answer.status}: ` +
        JSON.stringify(answer.body).slice(0, 500),
    );
  }
  return answer.body;
}

function parseOrText(text: string): unknown {
  try {
    return text === "" ? undefined : JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}
