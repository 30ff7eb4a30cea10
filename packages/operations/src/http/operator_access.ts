/** Which operator asks, by the text in force. */
import {MarigoldpostError} from '@marigoldpost/common';
import {type Exchange, KeyIndex} from '@marigoldpost/entry';
import type {OperatorConfig, OperatorsConfig} from '@marigoldpost/settings';

/**
 * Gets the operator whose key a request carries; throws `unauthenticated`, and
 * `platform_unavailable` while no text is known.
 * @param exchange - The request.
 * @param config - The text in force.
 */
export function getOperatorOrThrow(
  exchange: Exchange,
  config: OperatorsConfig | undefined,
): OperatorConfig {
  if (config === undefined) {
    throw MarigoldpostError.create(
      'platform_unavailable',
      "the operators' text is not known here yet",
    );
  }
  const keys = KeyIndex.create(config.operators.values());
  return keys.getOwnerOrThrow(exchange.getHeader('authorization'));
}
