/** Asks an entry VM where a request would go now. */
import {isErrorKind, MarigoldpostError} from '@marigoldpost/common';
import {request} from 'undici';
import * as z from 'zod';

/** An entry VM answers from memory, so a longer wait means that it hangs. */
const responseTimeoutMs = 5000;
const errorStatus = 400;

/** Description of the request, as the query of the page. */
export type RequestDescription = Readonly<Record<string, string | undefined>>;

/** Requests of other entry VMs at a target, as reported. */
const reportedLoadSchema = z.object({
  requests: z.number(),
  workMs: z.number(),
  ageMs: z.number(),
});

const targetSchema = z.object({
  id: z.string(),
  dataCentre: z.string(),
  unusable: z.string().optional(),
  ignoresEjection: z.boolean(),
  estimate: z.looseObject({finishMs: z.number()}),
  /** `null` for a target that takes no requests at all. */
  delayMs: z.number().nullable(),
  ownRequests: z.number(),
  window: z.number(),
  others: reportedLoadSchema.optional(),
  comparedShare: z.number(),
  chosenShare: z.number(),
});

/** Response of an entry VM. */
const requestExplanationSchema = z.object({
  configVersion: z.number(),
  route: z.string(),
  tenant: z.string().optional(),
  tenantPriority: z.number().optional(),
  services: z.array(
    z.object({
      service: z.string(),
      share: z.number(),
      usesLearnedCosts: z.boolean(),
      isDrawn: z.boolean(),
      outcome: z.string(),
      chosen: z.string().optional(),
      targets: z.array(targetSchema),
    }),
  ),
});

/** Where a request would go now. */
export type RequestExplanation = z.output<typeof requestExplanationSchema>;

const errorSchema = z.object({
  error: z.object({kind: z.string(), message: z.string()}),
});

/**
 * Asks an entry VM. Throws the error that it returned, and `peer_unavailable`
 * if it does not answer or its answer is no explanation.
 * @param entry - Address of its metrics page, `http://<ip>:<port>`.
 * @param description - Request that is not sent.
 */
export async function fetchExplanation(
  entry: string,
  description: RequestDescription,
): Promise<RequestExplanation> {
  if (!URL.canParse(entry) || !/^https?:$/.test(new URL(entry).protocol)) {
    const message = `--entry: expected http://<ip>:<port>, found "${entry}"`;
    throw MarigoldpostError.create('invalid_request', message);
  }
  const url = new URL('/explain', entry);
  for (const [name, value] of Object.entries(description)) {
    if (value !== undefined) url.searchParams.set(name, value);
  }
  const {status, text} = await fetchText(entry, url);
  const value = parseJson(text);
  const known = requestExplanationSchema.safeParse(value);
  if (status < errorStatus && known.success) return known.data;
  throw createResponseError(entry, value);
}

async function fetchText(entry: string, url: URL) {
  try {
    const {statusCode: status, body} = await request(url, {
      headersTimeout: responseTimeoutMs,
      bodyTimeout: responseTimeoutMs,
      signal: AbortSignal.timeout(responseTimeoutMs),
    });
    return {status, text: await body.text()};
  } catch (cause) {
    const message = `the entry VM at ${entry} does not answer`;
    throw MarigoldpostError.create('peer_unavailable', message, {
      cause: cause as Error,
    });
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function createResponseError(entry: string, value: unknown): MarigoldpostError {
  const result = errorSchema.safeParse(value);
  if (result.success && isErrorKind(result.data.error.kind)) {
    const {kind, message} = result.data.error;
    return MarigoldpostError.create(kind, message);
  }
  const message = `${entry} explains no placements; it may be an archive VM or an older build`;
  return MarigoldpostError.create('peer_unavailable', message);
}
