import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import {
  BLOCK_CHARS,
  type CallerRequest,
  estimateTokens,
  type PrefixHasher,
  promptText,
} from "@anvildeal/core";
import { z } from "zod";
import { CallerError } from "./caller_error.js";

const ContentPartSchema = z.looseObject({
  type: z.string(),
  text: z.string().optional(),
});

const ChatBodySchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({
    role: z.string(),
    content: z.union([z.string(), z.array(ContentPartSchema), z.null()])
      .optional(),
  })).min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.int().positive().nullish(),
  max_completion_tokens: z.int().positive().nullish(),
  user: z.string().nullish(),
});
type ChatBody = z.infer<typeof ChatBodySchema>;

/**
 * Request headers that are not forwarded to the endpoint: hop-by-hop headers
 * and those that carry the caller's key.
 */
const NOT_FORWARDED_HEADERS = new Set([
  "authorization",
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * Number of leading blocks of the prompt that the placement key covers. Their
 * 1,024 tokens extend beyond a system prompt of typical length into the
 * document that several chats share.
 */
const PLACEMENT_PREFIX_BLOCKS = 4;

const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/** The part of a request that is available before its body is read. */
export interface RequestHead {
  readonly requestId: string;
  readonly method: string;
  readonly url: string;
  readonly headers: IncomingMessage["headers"];
}

/**
 * Parses a call of the chat API.
 *
 * Throws {@link CallerError} with status 400 for an invalid body or header.
 */
export function parseChatRequest(
  head: RequestHead,
  body: Uint8Array,
  hasher: PrefixHasher,
): CallerRequest {
  const chat = parseChatBody(body);
  const keyHash = keyHashOf(head);
  const messages = chat.messages.map((message) => ({
    role: message.role,
    content: textOf(message.content),
  }));
  const text = messages.map((message) => message.content).join("");
  const chatId = chatIdOf(head, keyHash, chat, messages);
  const blockHashes = hasher.blockHashes(messages);
  return {
    ...commonFields(head, body, keyHash),
    kind: "chat",
    path: "/v1/chat/completions",
    headers: {},
    target: chat.model,
    stream: chat.stream === true,
    chatId,
    affinityKey: affinityKeyOf(blockHashes, messages) ?? chatId,
    blockHashes,
    promptTokens: estimateTokens(text),
    maxOutputTokens: chat.max_completion_tokens ?? chat.max_tokens ??
      undefined,
  };
}

/**
 * Parses a call below `/services/`.
 *
 * Throws {@link CallerError} with status 404 for a path without a service name
 * and 400 for an invalid header.
 */
export function parseServiceRequest(
  head: RequestHead,
  body: Uint8Array,
): CallerRequest {
  const match = SERVICE_PATH.exec(head.url);
  if (!match) {
    throw new CallerError(404, "not_found", `Unknown path ${head.url}`);
  }
  const [, service, path = "/", query = ""] = match;
  const keyHash = keyHashOf(head);
  const chatId = headerOf(head, "anvildeal-chat") ?? `${keyHash}/${service}`;
  return {
    ...commonFields(head, body, keyHash),
    kind: "service",
    path: path + query,
    headers: forwardedHeaders(head.headers),
    target: decodeURIComponent(service),
    stream: false,
    chatId,
    affinityKey: chatId,
    blockHashes: [],
    promptTokens: 0,
  };
}

/** SHA-256 of the bearer key in hexadecimal, or "" if the request has none. */
export function keyHashOf(head: RequestHead): string {
  const match = /^Bearer\s+(\S+)$/i.exec(headerOf(head, "authorization") ?? "");
  return match ? sha256(match[1]) : "";
}

function commonFields(
  head: RequestHead,
  body: Uint8Array,
  keyHash: string,
) {
  return {
    requestId: head.requestId,
    keyHash,
    method: head.method,
    body,
    deadlineInMs: deadlineOf(head),
    idempotent: idempotentOf(head),
    idempotencyKey: idempotencyKeyOf(head),
    fingerprint: createHash("sha256")
      .update(`${head.method} ${head.url}\n`)
      .update(body)
      .digest("hex")
      .slice(0, 64),
  };
}

function parseChatBody(body: Uint8Array): ChatBody {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    throw new CallerError(400, "invalid_json", "The body is not valid JSON.");
  }
  const parsed = ChatBodySchema.safeParse(value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const fieldPath = issue.path.join(".") || "body";
    throw new CallerError(
      400,
      "invalid_request",
      `${fieldPath}: ${issue.message}`,
    );
  }
  return parsed.data;
}

function textOf(
  content: ChatBody["messages"][number]["content"],
): string {
  if (typeof content === "string") {
    return content;
  }
  return (content ?? []).map((part) => part.text ?? "").join("");
}

/**
 * Id of a chat, derived from the chat id in the request. If the request has
 * none, the id is derived from the first system message and the first user
 * message, which stay the same as the chat grows.
 */
function chatIdOf(
  head: RequestHead,
  keyHash: string,
  chat: ChatBody,
  messages: readonly { role: string; content: string }[],
): string {
  const callerChatId = headerOf(head, "anvildeal-chat") ?? chat.user;
  if (callerChatId) {
    return sha256(`${keyHash}/${chat.model}/${callerChatId}`).slice(0, 24);
  }
  const system = messages.find((message) => message.role === "system");
  const firstUser = messages.find((message) => message.role === "user");
  const openingText = `${system?.content ?? ""}\0${firstUser?.content ?? ""}`;
  return sha256(`${keyHash}/${chat.model}/${openingText}`).slice(0, 24);
}

/**
 * Key by which endpoints are ranked for a chat: the hash of the first blocks of
 * the prompt. Chats about the same document are then placed at the endpoints
 * whose prompt cache contains it. Only the messages up to the first user
 * message count, so that the key stays the same as a chat grows. Undefined when
 * these messages are shorter than one block.
 */
function affinityKeyOf(
  blockHashes: readonly bigint[],
  messages: readonly { role: string; content: string }[],
): string | undefined {
  const firstUser = messages.findIndex(({ role }) => role === "user");
  const openingMessages = messages.slice(0, firstUser + 1);
  const openingBlocks = Math.floor(
    promptText(openingMessages).length / BLOCK_CHARS,
  );
  const coveredBlocks = Math.min(openingBlocks, PLACEMENT_PREFIX_BLOCKS);
  return blockHashes[coveredBlocks - 1]?.toString(36);
}

function deadlineOf(head: RequestHead): number | undefined {
  const value = headerOf(head, "anvildeal-deadline-ms");
  if (value === undefined) {
    return undefined;
  }
  const deadlineMs = Number(value);
  if (!Number.isInteger(deadlineMs) || deadlineMs <= 0) {
    throw new CallerError(
      400,
      "invalid_deadline",
      "Anvildeal-Deadline-Ms must be a positive number of milliseconds.",
    );
  }
  return deadlineMs;
}

function idempotentOf(head: RequestHead): boolean | undefined {
  const value = headerOf(head, "anvildeal-idempotent");
  if (value === undefined) {
    return undefined;
  }
  if (value !== "true" && value !== "false") {
    throw new CallerError(
      400,
      "invalid_header",
      "Anvildeal-Idempotent must be true or false.",
    );
  }
  return value === "true";
}

function idempotencyKeyOf(head: RequestHead): string | undefined {
  const MAX_KEY_CHARS = 256;
  const key = headerOf(head, "idempotency-key");
  if (key !== undefined && (key.length === 0 || key.length > MAX_KEY_CHARS)) {
    throw new CallerError(
      400,
      "invalid_idempotency_key",
      `Idempotency-Key must have 1 to ${MAX_KEY_CHARS} characters.`,
    );
  }
  return key;
}

function forwardedHeaders(
  headers: IncomingMessage["headers"],
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !NOT_FORWARDED_HEADERS.has(name)) {
      forwarded[name] = Array.isArray(value) ? value.join(", ") : value;
    }
  }
  return forwarded;
}

function headerOf(head: RequestHead, name: string): string | undefined {
  const value = head.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
