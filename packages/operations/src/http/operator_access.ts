/** Authentication of operators by the active configuration. */
import {MarigoldpostError} from '@marigoldpost/common';
import {type Exchange, KeyIndex} from '@marigoldpost/entry';
import type {OperatorConfig, OperatorsConfig} from '@marigoldpost/settings';

/**
 * Gets the operator whose key a request carries. Throws `unauthenticated` for
 * an unknown key, and `platform_unavailable` while there is no configuration.
 * @param exchange - Request with the key in its `Authorization` header.
 * @param config - The active operators' configuration, if any.
 */
export function getOperatorOrThrow(
  exchange: Exchange,
  config: OperatorsConfig | undefined,
): OperatorConfig {
  if (config === undefined) {
    throw MarigoldpostError.create(
      'platform_unavailable',
      "the daemon has not received the operators' configuration yet",
    );
  }
  const keys = KeyIndex.create(config.operators.values());
  return keys.getOwnerOrThrow(exchange.getHeader('authorization'));
}
