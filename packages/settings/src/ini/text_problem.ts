/** Validation problems of an INI text. */

/** One problem and its location in the text. */
export interface TextProblem {
  /** Line number, from 1. */
  readonly line: number;
  /** Title of the section; empty before the first section. */
  readonly section: string;
  /** Key that the problem concerns, if any. */
  readonly key?: string;
  /** What is wrong, and what was expected. */
  readonly message: string;
  /** Valid name that is most similar to the one found. */
  readonly nearest?: string;
}

/**
 * Formats a problem as one line of text.
 * @param problem - Problem to show to an operator.
 */
export function renderTextProblem(problem: TextProblem): string {
  const {line, section, key, message, nearest} = problem;
  const location = key === undefined ? `[${section}]` : `[${section}] ${key}`;
  const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`;
  return `line ${line}: ${location}: ${message}${hint}`;
}

/** Collects the problems of one text while it is parsed. */
export class TextProblems {
  private readonly problems: TextProblem[] = [];

  private constructor() {}

  /** Creates an empty list. */
  static create(): TextProblems {
    return new TextProblems();
  }

  /**
   * Adds a problem.
   * @param problem - Problem at any line; order does not matter.
   */
  add(problem: TextProblem): void {
    this.problems.push(problem);
  }

  /** Gets all problems in line order. */
  getAll(): readonly TextProblem[] {
    return this.problems.toSorted((left, right) => left.line - right.line);
  }
}
