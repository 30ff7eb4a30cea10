/** Updates the gauges of a daemon. */
import type {Clock, Timer} from '@marigoldpost/common';
import type {PartitionManager} from '@marigoldpost/programs';
import type {CallScheduler} from '@marigoldpost/scheduler';
import type {Metrics} from '@marigoldpost/telemetry';

const intervalMs = 1000;

/** The metrics, and the parts whose state the gauges show. */
export interface GaugeReporterOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly manager: PartitionManager;
  readonly scheduler: CallScheduler;
}

/** Sets the gauges once a second. */
export class GaugeReporter {
  private timer: Timer | undefined;

  private constructor(private readonly options: GaugeReporterOptions) {}

  /**
   * Creates a reporter.
   * @param options - The metrics, and the parts whose state the gauges show.
   */
  static create(options: GaugeReporterOptions): GaugeReporter {
    return new GaugeReporter(options);
  }

  /** Reports now, then at each interval. */
  start(): void {
    this.report();
    this.timer = this.options.clock.setTimer(intervalMs, () => this.start());
  }

  /** Cancels the next report. */
  stop(): void {
    this.timer?.cancel();
  }

  private report(): void {
    const {metrics, manager, scheduler} = this.options;
    const partitions = manager.getPartitions();
    let openPrograms = 0;
    let uncommittedBytes = 0;
    for (const {partition} of partitions) {
      const status = manager.getProgramManager(partition)?.getStatus();
      openPrograms += status?.openPrograms ?? 0;
      uncommittedBytes += status?.uncommittedBytes ?? 0;
    }
    metrics.setGauge('partitions_held', {}, partitions.length);
    metrics.setGauge('programs_open', {}, openPrograms);
    metrics.setGauge('uncommitted_bytes', {}, uncommittedBytes);
    metrics.setGauge('queue_length', {}, scheduler.getQueueLength());
  }
}
