/**
 * Schemas of the response bodies of the operations API. The client validates
 * each response against one of them.
 */
import * as z from 'zod';

const stringsSchema = z.array(z.string());
const numberSchema = z.number();

/** Accepted operators' configuration with its version, author and reason. */
export const acceptedConfigSchema = z.object({
  version: numberSchema,
  text: z.string(),
  author: z.string(),
  why: z.string(),
  at_ms: numberSchema,
});

/** One line that a configuration adds or removes. */
export const differenceSchema = z.object({
  kind: z.enum(['added', 'removed']),
  line: numberSchema,
  text: z.string(),
});

/** Lines in which a file differs from the accepted configuration. */
export const diffSchema = z.object({
  base_version: numberSchema,
  differences: z.array(differenceSchema),
});

/** Accepted changes of the configuration. */
export const configHistorySchema = z.object({
  changes: z.array(
    z.object({
      version: numberSchema,
      author: z.string(),
      why: z.string(),
      at_ms: numberSchema,
      hash: z.string(),
      differences: z.array(differenceSchema),
    }),
  ),
});

/** Audit trail of operators' changes, newest first. */
export const auditSchema = z.object({
  records: z.array(
    z.object({
      operator: z.string(),
      action: z.string(),
      subject: z.string(),
      at_ms: numberSchema,
      why: z.string().optional(),
    }),
  ),
});

const targetSchema = z.object({
  target: z.string(),
  service: z.string(),
  data_centre: z.string(),
  state: z.string(),
  models: stringsSchema,
  window_size: numberSchema.optional(),
  in_flight: numberSchema,
  running: numberSchema.optional(),
  waiting: numberSchema.optional(),
  used_blocks: numberSchema.optional(),
  total_blocks: numberSchema.optional(),
  age_ms: numberSchema,
});

/** State and load of every target, as one daemon knows them. */
export const targetsSchema = z.object({targets: z.array(targetSchema)});

const quarantinedRequestSchema = z.object({
  fingerprint: z.string(),
  targets: stringsSchema,
  last_death_at_ms: numberSchema,
});

/** Requests that may not run again until an operator lifts the quarantine. */
export const quarantineSchema = z.object({
  quarantined: z.array(quarantinedRequestSchema),
});

/** Quarantine state of a request after an operator lifted it. */
export const quarantineLiftSchema = z.object({
  fingerprint: z.string(),
  is_quarantined: z.boolean(),
});

/** State of the whole fleet, as one daemon knows it. */
export const statusSchema = z.object({
  daemon: z.string(),
  data_centre: z.string(),
  at_ms: numberSchema,
  is_ready: z.boolean(),
  is_draining: z.boolean(),
  platform: z.object({
    is_reachable: z.boolean(),
    uncommitted_bytes: numberSchema,
    age_ms: numberSchema,
  }),
  config_version: numberSchema,
  config_hash: z.string(),
  members: z.array(
    z.object({
      daemon: z.string(),
      data_centre: z.string(),
      state: z.string(),
      is_draining: z.boolean(),
      reaches_platform: z.boolean(),
      config_version: numberSchema,
      config_hash: z.string(),
      age_ms: numberSchema,
    }),
  ),
  partitions: z.array(
    z.object({
      partition: z.string(),
      holder: z.string(),
      epoch: numberSchema,
      age_ms: numberSchema,
    }),
  ),
  targets: z.array(targetSchema),
  services: z.array(
    z.object({
      service: z.string(),
      kind: z.string(),
      depends_on: stringsSchema,
      is_available: z.boolean(),
      in_flight: numberSchema,
      waiting: numberSchema,
      max_in_flight: numberSchema.optional(),
    }),
  ),
  teams: z.array(
    z.object({
      team: z.string(),
      is_approved: z.boolean(),
      in_flight: numberSchema,
      max_in_flight: numberSchema.optional(),
    }),
  ),
  quarantined: z.array(quarantinedRequestSchema),
});

/** Parsed `statusSchema`. */
export type StatusBody = z.infer<typeof statusSchema>;

/** One program with its budget, its usage and its calls. */
export const programSchema = z.object({
  program: z.string(),
  partition: z.string(),
  team: z.string(),
  parent: z.string().nullable(),
  state: z.string(),
  budget: z.object({
    max_tokens: numberSchema,
    max_calls: numberSchema,
    max_wall_ms: numberSchema,
  }),
  used_tokens: numberSchema,
  reserved_tokens: numberSchema,
  used_calls: numberSchema,
  calls: z.array(
    z.object({
      call: z.string(),
      service: z.string(),
      state: z.string(),
      target: z.string().nullable(),
      wait_ms: numberSchema.nullable(),
      prompt_tokens: numberSchema,
      cached_tokens: numberSchema,
      completion_tokens: numberSchema,
      placement_terms: z.record(z.string(), numberSchema).nullable(),
    }),
  ),
});

/** Parsed `programSchema`. */
export type ProgramBody = z.infer<typeof programSchema>;

/** Messages of a program, oldest first. */
export const programHistorySchema = z.object({
  program: z.string(),
  messages: z.array(z.object({role: z.string(), content: z.string()})),
});

/** Error response of a daemon. */
export const errorResponseSchema = z.object({
  error: z.object({
    kind: z.string(),
    message: z.string(),
    outcome: z.enum(['not_run', 'unknown', 'ran']),
    retry_after_ms: z.number().nullable(),
  }),
});
