import type { ConfigIssue } from "@anvildeal/core";

/** Codes of the error responses; documented in docs/api.md. */
export type AdminErrorCode =
  | "bad_request"
  | "unauthorized"
  | "client_key"
  | "forbidden"
  | "own_sign_off"
  | "not_found"
  | "method_not_allowed"
  | "conflict"
  | "digest_mismatch"
  | "not_signed_off"
  | "too_large"
  | "invalid_bundle"
  | "corrupt_store"
  | "store_unavailable"
  | "outcome_unknown"
  | "endpoint_unreachable"
  | "overloaded"
  | "internal";

/** A call failed; the error is sent as the response. */
export class AdminError extends Error {
  override readonly name = "AdminError";
  readonly status: number;
  readonly code: AdminErrorCode;
  readonly issues: readonly ConfigIssue[] | undefined;

  constructor(
    status: number,
    code: AdminErrorCode,
    message: string,
    issues?: readonly ConfigIssue[],
  ) {
    super(message);
    this.status = status;
    this.code = code;
    this.issues = issues;
  }
}

/** Error of a call that conflicts with another change, named by `message`. */
export function conflictError(message: string): AdminError {
  return new AdminError(409, "conflict", message);
}
