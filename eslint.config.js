import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

/** Limits of length and complexity: warnings until every folder meets them, then errors. */
const sizeLimits = {
  "max-lines": ["warn", { max: 350, skipBlankLines: true, skipComments: true }],
  "max-lines-per-function": ["warn", { max: 60, skipBlankLines: true, skipComments: true }],
  complexity: ["warn", 12],
};

/** A doc comment on every exported item: a warning until every folder has them. */
const docComments = {
  "jsdoc/require-jsdoc": [
    "warn",
    {
      publicOnly: true,
      require: { ArrowFunctionExpression: true, ClassDeclaration: true, MethodDefinition: false },
      contexts: ["TSInterfaceDeclaration", "TSTypeAliasDeclaration"],
    },
  ],
};

export default tseslint.config(
  { ignores: ["dist/", "target/", "node_modules/", "data/"] },
  ...tseslint.configs.recommended,
  {
    files: ["src/**/*.ts", "platform/**/*.ts", "test/**/*.ts"],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      "@typescript-eslint/no-explicit-any": "error",
      "@typescript-eslint/consistent-type-assertions": ["error", { assertionStyle: "never" }],
      "@typescript-eslint/no-non-null-assertion": "error",
      "@typescript-eslint/no-unsafe-assignment": "error",
      "@typescript-eslint/no-unsafe-member-access": "error",
      "@typescript-eslint/no-unsafe-call": "error",
      "@typescript-eslint/no-redeclare": "off",
      "require-yield": "off",
    },
  },
  {
    files: ["src/**/*.ts", "platform/**/*.ts"],
    plugins: { jsdoc },
    rules: { ...sizeLimits, ...docComments },
  },
);
