/** Renders the tables of docs/CAPACITY.md. */
import type {CapacityFigures} from './measure_capacity.js';

const bytesPerKb = 1000;
const bytesPerMb = 1_000_000;

interface Column<Row> {
  readonly title: string;
  readonly get: (row: Row) => number;
  /** Number of decimal places; default: 0. */
  readonly digits?: number;
}

/**
 * Renders all tables as Markdown.
 * @param figures - Result of `measureCapacity`.
 */
export function renderCapacity(figures: CapacityFigures): string {
  return [
    renderProcess(figures),
    renderIdle(figures),
    renderCalls(figures),
    renderJournals(figures),
    renderPrograms(figures),
    renderControl('Heartbeats over loopback sockets', figures.socketFleets),
    renderControl('Heartbeats in memory', figures.memoryFleets),
    renderDecisions(figures),
  ].join('\n\n');
}

function renderProcess({processMemory}: CapacityFigures): string {
  return renderTable(
    'Process with all modules loaded',
    [processMemory],
    [
      {title: 'Heap, MB', get: (row) => row.heapBytes / bytesPerMb},
      {title: 'Resident, MB', get: (row) => row.residentBytes / bytesPerMb},
    ],
  );
}

function renderIdle({idleFleets}: CapacityFigures): string {
  return renderTable('Idle daemon', idleFleets, [
    {title: 'Daemons', get: (row) => row.daemons},
    {title: 'Heap, KB', get: (row) => row.heapBytes / bytesPerKb},
    {title: '% of a core', get: (row) => row.processorPercent, digits: 2},
    {title: 'Control, B/s', get: (row) => row.sentBytesPerSecond},
    {title: 'Reads/min', get: (row) => row.readsPerMinute},
    {title: 'Writes/min', get: (row) => row.writesPerMinute},
    {title: 'Watches/min', get: (row) => row.watchesPerMinute},
  ]);
}

function renderCalls({calls}: CapacityFigures): string {
  return renderTable('Call through one daemon', calls, [
    {title: 'Calls', get: (row) => row.calls},
    {title: 'Tokens a call', get: (row) => row.tokensPerCall},
    {title: 'Processor, µs a call', get: (row) => row.processorUsPerCall},
  ]);
}

function renderJournals({journals}: CapacityFigures): string {
  return renderTable('Journal of one partition', journals, [
    {title: 'Calls/s', get: (row) => row.callsPerSecond},
    {title: 'Calls', get: (row) => row.calls},
    {title: 'Writes a call', get: (row) => row.writesPerCall, digits: 2},
    {title: 'Reads a call', get: (row) => row.readsPerCall, digits: 2},
    {title: 'Wait p50, ms', get: (row) => row.p50WaitMs},
    {title: 'Wait p99, ms', get: (row) => row.p99WaitMs},
  ]);
}

function renderPrograms({programs}: CapacityFigures): string {
  return renderTable('Programs of one partition', programs, [
    {title: 'Programs', get: (row) => row.programs},
    {title: 'Turns each', get: (row) => row.turns},
    {
      title: 'Heap, KB a program',
      get: (row) => row.heapBytesPerProgram / bytesPerKb,
      digits: 1,
    },
    {
      title: 'Stored, KB a program',
      get: (row) => row.storedBytesPerProgram / bytesPerKb,
      digits: 1,
    },
    {title: 'Processor, µs a turn', get: (row) => row.processorUsPerTurn},
    {title: 'Writes a turn', get: (row) => row.writesPerTurn, digits: 2},
  ]);
}

function renderControl(
  title: string,
  fleets: CapacityFigures['memoryFleets'],
): string {
  return renderTable(title, fleets, [
    {title: 'Daemons', get: (row) => row.daemonCount},
    {title: 'Sent, B/s a daemon', get: (row) => row.sentBytesPerSecond},
    {title: '% of a core', get: (row) => row.processorPercent, digits: 2},
  ]);
}

function renderDecisions({decisions}: CapacityFigures): string {
  return renderTable('Decisions', decisions, [
    {title: 'Targets', get: (row) => row.targets},
    {title: 'Programs', get: (row) => row.programs},
    {title: 'Mean, µs', get: (row) => row.meanUs},
    {title: 'p50, µs', get: (row) => row.p50Us},
    {title: 'p99, µs', get: (row) => row.p99Us},
    {title: 'Heap, MB', get: (row) => row.heapBytes / bytesPerMb, digits: 1},
  ]);
}

function renderTable<Row>(
  title: string,
  rows: readonly Row[],
  columns: readonly Column<Row>[],
): string {
  const toLine = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
  const lines = rows.map((row) =>
    toLine(columns.map(({get, digits = 0}) => get(row).toFixed(digits))),
  );
  const head = toLine(columns.map((column) => column.title));
  const rule = toLine(columns.map(() => '--:'));
  return [`**${title}**`, '', head, rule, ...lines].join('\n');
}
