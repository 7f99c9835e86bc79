import { timingSafeEqual } from "node:crypto";
import {
  type Clock,
  type Operator,
  type OperatorRole,
  type Operators,
  StoreError,
} from "@anvildeal/core";
import { AdminError } from "./admin_error.js";
import type { ClientKeys } from "./admin_services.js";
import type { ConfigRepository } from "./config_repository.js";
import { sha256Hex } from "./sha256_hex.js";

/**
 * Time for which operators are cached, so that calls without a valid key cannot
 * exhaust the read rate of the object API.
 */
const CACHE_TTL_MS = 1000;
const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/i;

/** Authenticates operators by the hash of their bearer token. */
export class OperatorDirectory {
  #lastRead: Operators | undefined;
  #lastReadMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly repository: ConfigRepository,
    private readonly clientKeys: ClientKeys,
    private readonly clock: Clock,
    private readonly onStale: () => void,
  ) {}

  /**
   * Resolves to the operator that the `Authorization` header identifies.
   *
   * Rejects with `AdminError` 401 when the header has no known key and 403 for
   * the key of a client account. With `allowStale`, the operators that were
   * read last are used while the store is unavailable, so that calls that do
   * not need the store keep working.
   */
  async authenticate(
    authorization: string | undefined,
    allowStale: boolean,
  ): Promise<Operator> {
    const token = BEARER_PATTERN.exec(authorization ?? "")?.[1];
    if (token === undefined) {
      throw unauthorizedError(
        "A bearer token with an operator key is required.",
      );
    }
    const keyHash = sha256Hex(token);
    if (this.clientKeys.has(keyHash)) {
      throw new AdminError(
        403,
        "client_key",
        "The key of a client account gives no access to administration.",
      );
    }
    const operator = findByHash(
      await this.#currentOperators(allowStale),
      keyHash,
    );
    if (operator === undefined) {
      throw unauthorizedError("The key belongs to no operator.");
    }
    return operator;
  }

  /** Reads the operators from the store and updates the cache. */
  async read(): Promise<Operators> {
    const stored = await this.repository.readOperators();
    this.#lastRead = stored?.value ?? { operators: [] };
    this.#lastReadMs = this.clock.nowMs();
    return this.#lastRead;
  }

  async #currentOperators(allowStale: boolean): Promise<Operators> {
    const ageMs = this.clock.nowMs() - this.#lastReadMs;
    if (this.#lastRead !== undefined && ageMs < CACHE_TTL_MS) {
      return this.#lastRead;
    }
    try {
      return await this.read();
    } catch (error) {
      const canUseStale = allowStale && error instanceof StoreError;
      if (!canUseStale || this.#lastRead === undefined) {
        throw error;
      }
      this.onStale();
      return this.#lastRead;
    }
  }
}

/** Whether an operator has one of the roles; `admin` includes all roles. */
export function hasRole(
  operator: Operator,
  allowed: readonly OperatorRole[],
): boolean {
  return operator.roles.includes("admin") ||
    operator.roles.some((role) => allowed.includes(role));
}

/** Compares with every operator, so that the duration reveals no key. */
function findByHash(
  { operators }: Operators,
  keyHash: string,
): Operator | undefined {
  const expected = Buffer.from(keyHash, "hex");
  let found: Operator | undefined;
  for (const operator of operators) {
    if (timingSafeEqual(Buffer.from(operator.key_hash, "hex"), expected)) {
      found = operator;
    }
  }
  return found;
}

function unauthorizedError(message: string): AdminError {
  return new AdminError(401, "unauthorized", message);
}
