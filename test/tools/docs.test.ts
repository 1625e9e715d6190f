import { existsSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { describe, expect, test } from "vitest";

const PAGES = ["README.md", "CONTRIBUTING.md", "docs/architecture.md", "docs/glossary.md"];

const readPage = (page: string): string => readFileSync(page, "utf8");

/** Paths of the repository that a page names in code spans. */
const namedPaths = (page: string): string[] =>
  [...readPage(page).matchAll(/`((?:src|platform|test|tools|deploy|docs)\/[\w./-]+)`/g)].flatMap(
    ([, path]) => path ?? [],
  );

/** Pages that a page links to, relative to the repository. */
const linkedPages = (page: string): string[] =>
  [...readPage(page).matchAll(/\]\(([\w./-]+)\)/g)].map(([, path]) =>
    join(dirname(page), path ?? ""),
  );

describe("documentation", () => {
  test.each(PAGES)("%s names and links only what exists", (page) => {
    const missing = [...namedPaths(page), ...linkedPages(page)].filter((path) => !existsSync(path));
    expect(missing).toEqual([]);
  });
});
