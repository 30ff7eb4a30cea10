/** Errors of the store as operators see them. */
import {
  type ErrorKind,
  MarigoldpostError,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {Route} from '@marigoldpost/entry';

const publicKinds: Partial<Record<ErrorKind, ErrorKind>> = {
  store_unavailable: 'platform_unavailable',
  store_ambiguous: 'outcome_unknown',
};

/**
 * Makes a route whose errors all have kinds that operators are told of.
 * @param route - The route.
 */
export function toPublicRoute(route: Route): Route {
  return {
    method: route.method,
    path: route.path,
    handle: async (exchange, parameters) => {
      try {
        await route.handle(exchange, parameters);
      } catch (error) {
        const shown = toPublicError(error);
        const {kind} = shown;
        exchange.logger.log('operator_refused', {kind, path: route.path});
        throw shown;
      }
    },
  };
}

function toPublicError(thrown: unknown): MarigoldpostError {
  const error = toMarigoldpostError(thrown);
  const kind = publicKinds[error.kind];
  if (kind === undefined) return error;
  const {message, retryAfterMs} = error;
  return MarigoldpostError.create(kind, message, {retryAfterMs});
}
