/** Tells of log lines that were left out. */
import type {
  BoundedOutput,
  EventLogger,
  Metrics,
} from '@marigoldpost/telemetry';

/**
 * Logs and counts the lines left out since the last report.
 * @param output - Where lines are left out.
 * @param logger - Logs the number.
 * @param metrics - Counts it.
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
