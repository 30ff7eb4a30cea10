/** Reports log lines that the output dropped. */
import type {
  BoundedOutput,
  EventLogger,
  Metrics,
} from '@marigoldpost/telemetry';

/**
 * Logs and counts the lines dropped since the last report.
 * @param output - Output that drops lines when it is full.
 * @param logger - Logger of the number of dropped lines.
 * @param metrics - Metrics whose counter is increased.
 */
export function reportDroppedLines(
  output: BoundedOutput,
  logger: EventLogger,
  metrics: Metrics,
): void {
  const lines = output.takeDropped();
  if (lines === 0) return;
  metrics.addToCounter('log_lines_dropped_total', {}, lines);
  logger.log('log_lines_dropped', {lines});
}
