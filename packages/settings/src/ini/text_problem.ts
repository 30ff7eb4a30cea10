/** What is wrong with a text, and where. */

/** One problem of an INI text. */
export interface TextProblem {
  /** Line number, from 1. */
  readonly line: number;
  /** Section as written between its brackets; empty before the first one. */
  readonly section: string;
  /** Key, when the problem is with one. */
  readonly key?: string;
  /** What is wrong, and what was expected. */
  readonly message: string;
  /** Valid name closest to the one found. */
  readonly nearest?: string;
}

/**
 * Renders a problem as one line of text.
 * @param problem - The problem.
 */
export function renderTextProblem(problem: TextProblem): string {
  const {line, section, key, message, nearest} = problem;
  const place = key === undefined ? `[${section}]` : `[${section}] ${key}`;
  const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`;
  return `line ${line}: ${place}: ${message}${hint}`;
}

/** Problems of one text, gathered while it is read. */
export class TextProblems {
  private readonly problems: TextProblem[] = [];

  private constructor() {}

  /** Creates an empty list. */
  static create(): TextProblems {
    return new TextProblems();
  }

  /**
   * Adds a problem.
   * @param problem - The problem.
   */
  add(problem: TextProblem): void {
    this.problems.push(problem);
  }

  /** Gets the problems in order of their lines. */
  getAll(): readonly TextProblem[] {
    return this.problems.toSorted((left, right) => left.line - right.line);
  }
}
