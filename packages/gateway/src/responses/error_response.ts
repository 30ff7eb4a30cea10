/** Builds HTTP responses for requests that the gateway rejects. */
import {errorDefinitions, type MarigoldpostError} from '@marigoldpost/common';
import type {BufferedResponse} from './write_response.js';

const millisecondsPerSecond = 1000;
const badGatewayStatus = 502;

/**
 * Creates the response for an error. If the request may have run, the response
 * never has a status that means that it did not run: 502 replaces the status
 * and `Retry-After` is omitted.
 * @param error - Error that ended the request.
 */
export function createErrorResponse(
  error: MarigoldpostError,
): BufferedResponse {
  const {kind, outcome, retryAfterMs} = error;
  const defaultAnswer = errorDefinitions[kind];
  const mayHaveRun =
    outcome !== 'not_run' && defaultAnswer.outcome === 'not_run';
  const status = mayHaveRun ? badGatewayStatus : defaultAnswer.status;
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
