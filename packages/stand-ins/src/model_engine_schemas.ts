import { z } from "zod";
import { CommonFaultsSchema } from "./http_stand_in.js";

/**
 * The fields that the engine reads from the body of a chat completion request.
 */
export const ChatBodySchema = z.object({
  model: z.string().default("stand-in"),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
  max_tokens: z.int().positive().optional(),
  max_completion_tokens: z.int().positive().optional(),
  stream: z.boolean().default(false),
  stream_options: z.object({ include_usage: z.boolean().default(false) })
    .optional(),
  continue_text: z.string().default(""),
});

/** Value of the header `x-priority`, from 0 (lowest) to 9 (highest). */
export const PrioritySchema = z.coerce.number().int().min(0).max(9);

/** Query parameter with the number of a stream event or cache event. */
export const EventNumberSchema = z.coerce.number().int().nonnegative();

const HashSchema = z.string().regex(/^[0-9a-f]{16}$/);

/** Hashes of the prefix blocks to export, in the order of the prompt. */
export const CacheExportSchema = z.object({ hashes: z.array(HashSchema) });

/** Prefix blocks to import, in the order of the prompt. */
export const CacheImportSchema = z.object({
  blocks: z.array(z.object({ hash: HashSchema, tokens: z.number() })),
});

/** An order to an engine, such as to load a model. */
export const EngineOrderSchema = z.object({
  kind: z.string(),
  parameters: z.record(z.string(), z.string()),
  fencing_number: z.int().nonnegative(),
});
export type EngineOrder = z.infer<typeof EngineOrderSchema>;

export const ModelEngineFaultsSchema = CommonFaultsSchema.extend({
  /** Factor by which prefill and decode take longer. */
  slow_factor: z.number().positive().optional(),
  /** While true, no tokens are generated; HTTP calls are still answered. */
  paused: z.boolean().optional(),
});
export type ModelEngineFaults = z.input<typeof ModelEngineFaultsSchema>;

/** Body of the answer to `GET /v1/load`. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly outstanding_tokens: number;
  readonly prefill_tokens_per_s: number;
  readonly decode_tokens_per_s: number;
  readonly max_batch: number;
}
