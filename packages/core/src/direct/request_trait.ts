// What requests have in common, and under which endpoints may crash.

import type { DirectCall } from "./direct_event.js";
import { sharedPromptParts } from "./prompt_parts.js";

/** Longer ids are not held in evidence: messages with them could not be read. */
export const MAX_PART_ID_LENGTH = 128;

/** Paths are named without their query, and up to this length. */
export const MAX_PATH_LENGTH = 200;

/** Longer names of methods and accounts are cut as well. */
export const MAX_NAME_LENGTH = 100;

/** Part of a prompt, never the last one. */
export interface PromptPartTrait {
  readonly kind: "prompt_part";
  /** Engines of different services may take the same part differently. */
  readonly service: string;
  readonly partId: string;
}

/** Who sends what, as far as that is known without reading the body. */
export interface RequestOrigin {
  /** Absent on routes that need no key. */
  readonly account?: string | undefined;
  readonly method: string;
  /** Path without its query, cut to {@link MAX_PATH_LENGTH}. */
  readonly path: string;
  readonly bodyBytes: number;
}

/** The whole of a request: account, method, path with query, and body. */
export interface ContentTrait extends RequestOrigin {
  readonly kind: "content";
  /** Service at which an endpoint first crashed; all services count. */
  readonly service: string;
  /** Digest of method, path with query, and body. */
  readonly digest: string;
}

export type RequestTrait = PromptPartTrait | ContentTrait;
export type TraitKind = RequestTrait["kind"];

/** A request as far as its traits depend on it. */
export interface TraitSource {
  readonly call: DirectCall;
  readonly service: string;
  readonly account: { readonly name: string } | undefined;
}

/** Equal for equal traits. */
export function traitKeyOf(trait: RequestTrait): string {
  return trait.kind === "prompt_part"
    ? partKeyOf(trait.service, trait.partId)
    : contentKeyOf(trait.digest, trait.account);
}

export function partKeyOf(service: string, partId: string): string {
  return `part ${service} ${partId}`;
}

export function contentKeyOf(
  digest: string,
  account: string | undefined,
): string {
  return `content ${digest} ${account ?? ""}`;
}

/** Equal for requests with the same origin. */
export function originKeyOf(
  { account, bodyBytes, method, path }: RequestOrigin,
): string {
  return `${bodyBytes} ${method} ${path} ${account ?? ""}`;
}

export function promptPartTraitsOf(
  { call, service }: TraitSource,
): PromptPartTrait[] {
  return sharedPromptParts(call).flatMap(({ id }) =>
    id.length > MAX_PART_ID_LENGTH
      ? []
      : [{ kind: "prompt_part", service, partId: id }]
  );
}

export function originOf({ account, call }: TraitSource): RequestOrigin {
  const [path = ""] = call.path.split("?", 1);
  return {
    ...(account ? { account: account.name.slice(0, MAX_NAME_LENGTH) } : {}),
    method: call.method.slice(0, MAX_NAME_LENGTH),
    path: path.slice(0, MAX_PATH_LENGTH),
    bodyBytes: call.bodyBytes,
  };
}

/** Reads the whole body of the request. */
export function contentTraitOf(request: TraitSource): ContentTrait {
  return {
    kind: "content",
    service: request.service,
    digest: request.call.contentDigest(),
    ...originOf(request),
  };
}
