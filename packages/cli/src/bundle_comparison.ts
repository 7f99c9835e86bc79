import type { BundleFile } from "@anvildeal/core";
import type { AdminClient } from "./admin_client.js";

/** Differences between a bundle and the version in force. */
export interface DiffAnswer {
  readonly in_force_version: number;
  readonly lines: readonly string[];
}

/** Asks a router for the differences of a bundle from the version in force. */
export async function fetchDiff(
  client: AdminClient,
  files: readonly BundleFile[],
): Promise<DiffAnswer> {
  return await client.query("/diff", { files }) as DiffAnswer;
}

/** Describes the differences for people. */
export function describeDiff({ in_force_version, lines }: DiffAnswer): string {
  return [`compared with version ${in_force_version}:`, ...lines].join("\n");
}
