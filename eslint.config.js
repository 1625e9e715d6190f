import tseslint from "typescript-eslint";

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
);
