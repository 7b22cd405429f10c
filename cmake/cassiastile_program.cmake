# cassiastile_program(NAME DEPS...) builds NAME.cpp into build/bin/NAME, where
# the underscores of the file's name become dashes in the program's name.
function(cassiastile_program file)
  string(REPLACE "_" "-" program ${file})
  add_executable(${program} ${file}.cpp)
  target_link_libraries(${program} PRIVATE ${ARGN})
  set_target_properties(${program} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# cassiastile_examples(MODULE) builds one program from each
# examples/MODULE/*.cpp.
function(cassiastile_examples module)
  file(GLOB examples CONFIGURE_DEPENDS ${module}/*.cpp)
  foreach(example ${examples})
    get_filename_component(name ${example} NAME_WE)
    add_executable(example_${module}_${name} ${example})
    target_link_libraries(example_${module}_${name} PRIVATE cassiastile_${module})
    set_target_properties(example_${module}_${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/examples)
  endforeach()
endfunction()
