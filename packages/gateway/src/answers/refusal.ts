/** Answers to requests that the system does not serve. */
import {errorAnswers, type MarigoldpostError} from '@marigoldpost/common';

/** An answer of the system's own. */
export interface Refusal {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

const millisecondsPerSecond = 1000;
const badGatewayStatus = 502;

/**
 * Gets the answer for an error. An error whose request may have run never gets
 * a status that says it has not.
 * @param error - The error.
 */
export function toRefusal(error: MarigoldpostError): Refusal {
  const {kind, outcome, retryAfterMs} = error;
  const known = errorAnswers[kind];
  const mayHaveRun = outcome !== 'not_run' && known.outcome === 'not_run';
  const status = mayHaveRun ? badGatewayStatus : known.status;
  const body = Buffer.from(
    `${JSON.stringify({error: {kind, message: error.message, outcome}})}\n`,
  );
  const headers = ['Content-Type', 'application/json'];
  if (retryAfterMs !== undefined && !mayHaveRun) {
    const seconds = (retryAfterMs / millisecondsPerSecond).toFixed(2);
    headers.push('Retry-After', seconds);
  }
  return {status, headers, body};
}
