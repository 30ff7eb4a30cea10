/** Translation of store errors to error kinds of the operators' API. */
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
 * Creates a route that logs errors and throws them with public kinds only.
 * @param route - The route to wrap.
 */
export function toPublicRoute(route: Route): Route {
  return {
    method: route.method,
    path: route.path,
    handle: async (exchange, parameters) => {
      try {
        await route.handle(exchange, parameters);
      } catch (error) {
        const publicError = toPublicError(error);
        const {kind} = publicError;
        exchange.logger.log('operator_refused', {kind, path: route.path});
        throw publicError;
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
