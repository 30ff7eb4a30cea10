/** Answers to requests that the system does not serve. */
import {errorAnswers, type MarigoldpostError} from '@marigoldpost/common';
import type {WholeAnswer} from './write_answer.js';

const millisecondsPerSecond = 1000;
const badGatewayStatus = 502;

/**
 * Gets the answer for an error. An error whose request may have run never gets
 * a status that says it has not.
 * @param error - The error.
 */
export function toRefusal(error: MarigoldpostError): WholeAnswer {
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
