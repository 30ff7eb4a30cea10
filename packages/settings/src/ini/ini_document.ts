/**
 * INI parser that keeps line numbers. The `ini` library parses the value of
 * each line. It silently merges duplicates, so sections and keys are separated
 * here.
 */
import {parse} from 'ini';
import type {TextProblems} from './text_problem.js';

/** Key and value of one `key = value` line. */
export interface IniEntry {
  readonly key: string;
  readonly value: string;
  readonly line: number;
}

/** One section with its entries. */
export interface IniSection {
  /** Text between the brackets, with runs of whitespace as one space. */
  readonly title: string;
  /** First word of the title. */
  readonly kind: string;
  /** Rest of the title; empty when the title has one word. */
  readonly name: string;
  readonly line: number;
  readonly entries: readonly IniEntry[];
}

interface MutableSection extends IniSection {
  readonly entries: IniEntry[];
}

const sectionPattern = /^\s*\[([^\]]*)\]\s*(?:[;#].*)?$/;
const blankPattern = /^\s*(?:[;#].*)?$/;

/**
 * Gets the title from a section header; undefined for other lines.
 * @param line - One line of an INI text.
 */
export function getSectionTitle(line: string): string | undefined {
  return sectionPattern.exec(line)?.[1]?.trim().replaceAll(/\s+/g, ' ');
}

/** Sections of an INI text, in order of appearance. */
export class IniDocument {
  private constructor(readonly sections: readonly IniSection[]) {}

  /**
   * Parses a text.
   * @param text - INI text.
   * @param problems - Receives malformed lines and duplicates.
   */
  static parse(text: string, problems: TextProblems): IniDocument {
    const reader = new IniReader(problems);
    const lines = text.split(/\r?\n/);
    lines.forEach((line, index) => reader.addLine(line, index + 1));
    return new IniDocument(reader.sections);
  }

  /**
   * Gets the sections of one kind.
   * @param kind - First word of the titles.
   */
  getSections(kind: string): readonly IniSection[] {
    return this.sections.filter((section) => section.kind === kind);
  }
}

class IniReader {
  readonly sections: MutableSection[] = [];
  private readonly lineOfTitle = new Map<string, number>();

  constructor(private readonly problems: TextProblems) {}

  addLine(line: string, number: number): void {
    if (blankPattern.test(line)) return;
    const title = getSectionTitle(line);
    if (title === undefined) this.addEntry(line, number);
    else this.addSection(title, number);
  }

  private addSection(title: string, line: number): void {
    const firstLine = this.lineOfTitle.get(title);
    if (firstLine !== undefined) {
      const message = `section is already given at line ${firstLine}`;
      this.problems.add({line, section: title, message});
    }
    this.lineOfTitle.set(title, firstLine ?? line);
    const [kind = '', ...rest] = title.split(' ');
    const name = rest.join(' ');
    this.sections.push({title, kind, name, line, entries: []});
  }

  private addEntry(text: string, line: number): void {
    const section = this.sections.at(-1);
    const location = {line, section: section?.title ?? ''};
    const entry = parseEntry(text, line);
    if (entry === undefined) {
      this.problems.add({...location, message: 'expected "key = value"'});
    } else if (section === undefined) {
      const message = 'expected a [section] before the first key';
      this.problems.add({...location, key: entry.key, message});
    } else {
      this.addToSection(section, entry);
    }
  }

  private addToSection(section: MutableSection, entry: IniEntry): void {
    const {key, line} = entry;
    const first = section.entries.find((known) => known.key === key);
    if (first === undefined) {
      section.entries.push(entry);
      return;
    }
    const message = `key is already given at line ${first.line}`;
    this.problems.add({line, section: section.title, key, message});
  }
}

function parseEntry(text: string, line: number): IniEntry | undefined {
  if (!text.includes('=')) return undefined;
  const parsed = Object.entries(parse(text));
  const [key, value] = parsed[0] ?? [];
  if (key === undefined || key === '') return undefined;
  if (typeof value === 'object' && value !== null) return undefined;
  return {key, value: String(value).trim(), line};
}
