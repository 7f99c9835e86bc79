import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import { HttpStatusError } from "./http_status_error.js";

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** A request to a stand-in, with the response that answers the request. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
}

/**
 * Reads a complete body; throws {@link HttpStatusError} 413 if the body is
 * larger than `limitBytes`.
 */
export async function readBody(
  request: IncomingMessage,
  limitBytes = MAX_BODY_BYTES,
): Promise<Buffer> {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of request) {
    bytes += (part as Buffer).length;
    if (bytes > limitBytes) {
      throw new HttpStatusError(413, `Body exceeds ${limitBytes} bytes`);
    }
    parts.push(part as Buffer);
  }
  return Buffer.concat(parts);
}

/**
 * Reads a JSON body; throws {@link HttpStatusError} 413 if the body is larger
 * than `limitBytes` and 400 if it is not valid JSON.
 */
export async function readJson(
  request: IncomingMessage,
  limitBytes = MAX_BODY_BYTES,
): Promise<unknown> {
  const body = await readBody(request, limitBytes);
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    throw new HttpStatusError(400, "Body is not valid JSON");
  }
}

/**
 * Answers with JSON, or without a body if `body` is undefined. Does nothing if
 * the response was already sent or closed.
 */
export function sendJson(
  { response }: Exchange,
  status: number,
  body?: unknown,
  headers: Record<string, string> = {},
): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  const text = body === undefined ? "" : JSON.stringify(body);
  response.writeHead(status, {
    ...(body === undefined ? {} : { "content-type": "application/json" }),
    ...headers,
  });
  response.end(text);
}

/**
 * Answers with the status of an {@link HttpStatusError}, with 400 for a schema
 * error and with 500 for any other error.
 */
export function sendError(exchange: Exchange, error: unknown): void {
  const message = error instanceof Error ? error.message : String(error);
  const status = error instanceof HttpStatusError
    ? error.status
    : error instanceof z.ZodError
    ? 400
    : 500;
  sendJson(exchange, status, { error: { message, type: "stand_in_error" } });
}

/** Returns the first value of a request header; `name` is in lower case. */
export function headerOf(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
