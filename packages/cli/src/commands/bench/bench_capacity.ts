/** `bench capacity`. */
import type {CapacityFigures} from '@marigoldpost/bench';
import {BaseCommand} from '../base_command.js';

/** Measures what the page on capacity is worked out from. */
export class BenchCapacity extends BaseCommand {
  static override summary = 'Measure the slopes of docs/CAPACITY.md';

  async run(): Promise<CapacityFigures> {
    const {measureCapacity, pageSizes, renderCapacity} =
      await import('@marigoldpost/bench');
    const figures = await measureCapacity(pageSizes);
    this.log(renderCapacity(figures));
    return figures;
  }
}
