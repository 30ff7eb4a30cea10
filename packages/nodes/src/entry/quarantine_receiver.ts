/** Merges the crash records that this entry VM receives, and logs them. */
import type {Clock} from '@marigoldpost/common';
import type {Quarantine, QuarantineEntry} from '@marigoldpost/targets';
import type {EventLogger, Metrics} from '@marigoldpost/telemetry';

/** Limit of the log lines of one batch; one crash concerns many requests. */
const maxLogged = 8;

/** Quarantine that receives records, and its telemetry. */
export interface QuarantineReceiverOptions {
  readonly clock: Clock;
  readonly quarantine: Quarantine;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
  /** Called when received entries have changed the quarantine. */
  readonly onMerged: () => void;
}

/** Merges received entries into the quarantine of this entry VM. */
export class QuarantineReceiver {
  private constructor(private readonly options: QuarantineReceiverOptions) {}

  /**
   * Creates a receiver.
   * @param options - Quarantine and telemetry.
   */
  static create(options: QuarantineReceiverOptions): QuarantineReceiver {
    return new QuarantineReceiver(options);
  }

  /**
   * Merges entries of other daemons.
   * @param source - Object or daemon that they come from, for the log.
   * @param entries - Received entries.
   */
  receive(source: string, entries: readonly QuarantineEntry[]): void {
    const {clock, quarantine, logger, metrics, onMerged} = this.options;
    const merged = quarantine.mergeEntries(entries);
    metrics.addToCounter(
      'crash_records_total',
      {event: 'merged'},
      merged.length,
    );
    const logged = [...merged].sort(compareDeathCounts).slice(0, maxLogged);
    for (const {fingerprint, deaths} of logged) {
      logger.log('crash_records_merged', {
        source,
        fingerprint,
        deaths: deaths.length,
        ageMs: clock.wallTimeMs() - quarantine.getLastDeathMs(fingerprint),
        isQuarantined: quarantine.isQuarantined(fingerprint),
        omitted: merged.length - logged.length,
      });
    }
    if (merged.length > 0) onMerged();
  }
}

/** Orders entries by their number of deaths, the highest first. */
function compareDeathCounts(
  left: QuarantineEntry,
  right: QuarantineEntry,
): number {
  return right.deaths.length - left.deaths.length;
}
