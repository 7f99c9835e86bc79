import { setTimeout as delay } from "node:timers/promises";
import {
  type ObjectStore,
  StoreConflictError,
  type StoredObject,
  StoreError,
  StoreUnknownOutcomeError,
} from "@anvildeal/core";
import { AdminError } from "./admin_error.js";

/** Delays between the attempts to resolve the outcome of a write. */
const RESOLVE_DELAYS_MS = [20, 100, 400] as const;

export interface ConditionalWrite {
  readonly key: string;
  readonly value: unknown;
  /** Version of the object to replace; undefined creates the object. */
  readonly ifVersion: number | undefined;
  /** Whether the object found at the key shows that this write was applied. */
  readonly isOwnWrite: (found: StoredObject) => boolean | Promise<boolean>;
  /** What the caller should do when the outcome stays unknown. */
  readonly adviceIfUnknown: string;
}

/**
 * Performs a conditional write. When its response is lost, the outcome is
 * resolved by reading the object back.
 *
 * Repeating the write is safe, since its condition lets it apply at most once.
 * Rejects with `StoreConflictError` when another write came first, with
 * `StoreUnavailableError` when nothing was written, and with an `AdminError` of
 * code `outcome_unknown` when the outcome cannot be resolved.
 */
export async function writeAndResolve(
  store: ObjectStore,
  write: ConditionalWrite,
): Promise<void> {
  let mayHaveApplied = false;
  for (let attempt = 0;; attempt++) {
    try {
      await writeOnce(store, write);
      return;
    } catch (error) {
      if (error instanceof StoreConflictError) {
        await resolveIfOwnWrite(error, write, mayHaveApplied);
        return;
      }
      if (!(error instanceof StoreError)) {
        throw error;
      }
      mayHaveApplied ||= error instanceof StoreUnknownOutcomeError;
      if (!mayHaveApplied) {
        throw error;
      }
    }
    if (attempt === RESOLVE_DELAYS_MS.length) {
      throw unknownOutcomeError(write);
    }
    await delay(RESOLVE_DELAYS_MS[attempt]);
    if (await isApplied(store, write)) {
      return;
    }
  }
}

async function writeOnce(
  store: ObjectStore,
  { key, value, ifVersion }: ConditionalWrite,
): Promise<void> {
  if (ifVersion === undefined) {
    await store.create(key, value);
  } else {
    await store.update(key, value, ifVersion);
  }
}

async function isApplied(
  store: ObjectStore,
  write: ConditionalWrite,
): Promise<boolean> {
  try {
    const found = await store.get(write.key);
    return found !== undefined && await write.isOwnWrite(found);
  } catch (error) {
    if (error instanceof StoreError) {
      return false;
    }
    throw error;
  }
}

/**
 * Resolves if an earlier try of the same write caused the conflict; otherwise
 * rejects with `error`. If a store call that is needed to find this out fails,
 * rejects with `outcome_unknown` when an earlier try may have been applied, and
 * with `error` when not.
 */
async function resolveIfOwnWrite(
  error: StoreConflictError,
  write: ConditionalWrite,
  mayHaveApplied: boolean,
): Promise<void> {
  try {
    if (error.current !== undefined && await write.isOwnWrite(error.current)) {
      return;
    }
  } catch (readError) {
    if (readError instanceof StoreError && mayHaveApplied) {
      throw unknownOutcomeError(write);
    }
    if (!(readError instanceof StoreError)) {
      throw readError;
    }
  }
  throw error;
}

function unknownOutcomeError(write: ConditionalWrite): AdminError {
  return new AdminError(
    504,
    "outcome_unknown",
    `The answer to the write of ${write.key} was lost and the object API ` +
      `cannot be read, so the outcome is unknown. ${write.adviceIfUnknown}`,
  );
}
